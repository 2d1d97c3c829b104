#include "call_dispatcher.hpp"

#include <exception>

#include "json_rpc.hpp"

namespace shallotcove {
namespace rpc {

    namespace {

        Json::Value valueOrThrow(const call_result& result)
        {
            if (result)
                return *result;
            throw jsonrpc::JsonRpcException(static_cast<int>(result.error().error), result.error().message);
        }

        using command_call = call_result (operator_commands::*)(const Json::Value&, const Json::Value&);
        using query_call = call_result (operator_queries::*)(const Json::Value&);

        Json::Value runCommand(operator_commands& handler, command_call call, const Json::Value& operation,
            const Json::Value& request)
        {
            try {
                return valueOrThrow((handler.*call)(operation, request));
            } catch (const jsonrpc::JsonRpcException&) {
                throw;
            } catch (const std::exception& exception) {
                // The handler may have written to the store before it failed.
                throw jsonrpc::JsonRpcException(
                    static_cast<int>(operator_error::OutcomeUnknown), exception.what());
            }
        }

        Json::Value runQuery(operator_queries& handler, query_call call, const Json::Value& request)
        {
            try {
                return valueOrThrow((handler.*call)(request));
            } catch (const jsonrpc::JsonRpcException&) {
                throw;
            } catch (const std::exception& exception) {
                throw jsonrpc::JsonRpcException(internalErrorCode, exception.what());
            }
        }

    } // namespace

    call_dispatcher::call_dispatcher(
        jsonrpc::AbstractServerConnector& serverConnector, operator_handler& operatorHandler)
        : generated::operator_server_stub(serverConnector)
        , m_handler(operatorHandler)
    {
    }

    Json::Value call_dispatcher::serviceCreate(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::serviceCreate, operation, request);
    }

    Json::Value call_dispatcher::serviceRemove(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::serviceRemove, operation, request);
    }

    Json::Value call_dispatcher::serverAdd(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::serverAdd, operation, request);
    }

    Json::Value call_dispatcher::serverDrain(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::serverDrain, operation, request);
    }

    Json::Value call_dispatcher::serverUndrain(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::serverUndrain, operation, request);
    }

    Json::Value call_dispatcher::serverRemove(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::serverRemove, operation, request);
    }

    Json::Value call_dispatcher::serverWeight(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::serverWeight, operation, request);
    }

    Json::Value call_dispatcher::callerClassesSet(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::callerClassesSet, operation, request);
    }

    Json::Value call_dispatcher::dataCentreOut(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::dataCentreOut, operation, request);
    }

    Json::Value call_dispatcher::dataCentreIn(const Json::Value& operation, const Json::Value& request)
    {
        return runCommand(m_handler, &operator_commands::dataCentreIn, operation, request);
    }

    Json::Value call_dispatcher::serviceList(const Json::Value& request)
    {
        return runQuery(m_handler, &operator_queries::serviceList, request);
    }

    Json::Value call_dispatcher::serviceShow(const Json::Value& request)
    {
        return runQuery(m_handler, &operator_queries::serviceShow, request);
    }

    Json::Value call_dispatcher::status(const Json::Value& request)
    {
        return runQuery(m_handler, &operator_queries::status, request);
    }

    Json::Value call_dispatcher::explainFlow(const Json::Value& request)
    {
        return runQuery(m_handler, &operator_queries::explainFlow, request);
    }

    Json::Value call_dispatcher::changes(const Json::Value& request)
    {
        return runQuery(m_handler, &operator_queries::changes, request);
    }

    Json::Value call_dispatcher::watch(const Json::Value& request)
    {
        return runQuery(m_handler, &operator_queries::watch, request);
    }

} // namespace rpc
} // namespace shallotcove
