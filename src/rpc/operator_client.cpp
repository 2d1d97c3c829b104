#include <shallotcove/rpc/operator_client.hpp>

#include <array>
#include <utility>

#include <operator_client_stub.h>

#include "http_client_connector.hpp"
#include "json_rpc.hpp"

namespace shallotcove {
namespace rpc {

    namespace {

        using stub = generated::operator_client_stub;

        struct command_entry {
            const char* name;
            Json::Value (stub::*call)(const Json::Value& operation, const Json::Value& request);
        };

        struct query_entry {
            const char* name;
            Json::Value (stub::*call)(const Json::Value& request);
        };

        const std::array<command_entry, 10>& commands()
        {
            static const std::array<command_entry, 10> entries { {
                { "serviceCreate", &stub::serviceCreate },
                { "serviceRemove", &stub::serviceRemove },
                { "serverAdd", &stub::serverAdd },
                { "serverDrain", &stub::serverDrain },
                { "serverUndrain", &stub::serverUndrain },
                { "serverRemove", &stub::serverRemove },
                { "serverWeight", &stub::serverWeight },
                { "callerClassesSet", &stub::callerClassesSet },
                { "dataCentreOut", &stub::dataCentreOut },
                { "dataCentreIn", &stub::dataCentreIn },
            } };
            return entries;
        }

        const std::array<query_entry, 6>& queries()
        {
            static const std::array<query_entry, 6> entries { {
                { "serviceList", &stub::serviceList },
                { "serviceShow", &stub::serviceShow },
                { "status", &stub::status },
                { "explainFlow", &stub::explainFlow },
                { "changes", &stub::changes },
                { "watch", &stub::watch },
            } };
            return entries;
        }

        client_error toClientError(const jsonrpc::JsonRpcException& exception)
        {
            const operator_error refusal = static_cast<operator_error>(exception.GetCode());
            if (errorName(refusal) != "Unknown")
                return { client_error_kind::Refused, refusal, exception.GetMessage() };
            const bool isResponseLost = exception.GetCode() == internalErrorCode
                || exception.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
            return { isResponseLost ? client_error_kind::AnswerLost : client_error_kind::Protocol,
                operator_error::InvalidArgument, exception.GetMessage() };
        }

        /// Runs a function that takes a stub, on a new connection.
        template <typename Run>
        tl::expected<Json::Value, client_error> runOnNewConnection(
            const operator_client_options& options, Run run)
        {
            http_client_connector connector(options);
            stub client(connector);
            try {
                return run(client);
            } catch (const jsonrpc::JsonRpcException& exception) {
                return tl::unexpected<client_error>(
                    connector.failure() ? *connector.failure() : toClientError(exception));
            }
        }

        tl::unexpected<client_error> unknownCallError(const std::string& name)
        {
            return tl::unexpected<client_error>({ client_error_kind::Protocol,
                operator_error::InvalidArgument, "the schema has no call " + name });
        }

    } // namespace

    operator_client::operator_client(operator_client_options options)
        : m_options(std::move(options))
    {
    }

    std::vector<call_description> operator_client::calls()
    {
        std::vector<call_description> all;
        for (const command_entry& entry : commands())
            all.push_back({ entry.name, true });
        for (const query_entry& entry : queries())
            all.push_back({ entry.name, false });
        return all;
    }

    tl::expected<Json::Value, client_error> operator_client::command(
        const std::string& name, const Json::Value& operation, const Json::Value& request)
    {
        for (const command_entry& entry : commands()) {
            if (name == entry.name)
                return runOnNewConnection(
                    m_options, [&](stub& client) { return (client.*entry.call)(operation, request); });
        }
        return unknownCallError(name);
    }

    tl::expected<Json::Value, client_error> operator_client::query(
        const std::string& name, const Json::Value& request)
    {
        for (const query_entry& entry : queries()) {
            if (name == entry.name)
                return runOnNewConnection(
                    m_options, [&](stub& client) { return (client.*entry.call)(request); });
        }
        return unknownCallError(name);
    }

} // namespace rpc
} // namespace shallotcove
