#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <json/json.h>
#include <tl/expected.hpp>

#include <shallotcove/rpc/operator_error.hpp>

namespace shallotcove {
namespace rpc {

    struct operator_client_options {
        /// IP address of the host to call.
        std::string host = "127.0.0.1";
        std::uint16_t port = 0;
        std::string token;
        std::chrono::milliseconds connectTimeout { 2000 };
        /// Time limit for sending the request and reading the response.
        std::chrono::milliseconds responseTimeout { 10000 };
        /// Larger responses are rejected.
        std::size_t maximumResponseBytes = 16 * 1024 * 1024;
    };

    enum class client_error_kind {
        /// The request was not sent completely, so the host has not run it.
        NotSent,
        /// The host may have run the request, but no valid response was received.
        AnswerLost,
        /// The host responded with an error that the schema defines.
        Refused,
        /// The host could not interpret the request: its version differs, or this program has a bug.
        Protocol,
    };

    struct client_error {
        client_error_kind kind;
        /// Only valid if the kind is Refused.
        operator_error refusal;
        std::string message;
    };

    /// Name of a call and whether it takes an `operation` parameter.
    struct call_description {
        std::string name;
        bool isCommand;
    };

    /// Sends operator calls to a host, with one connection per call. Not thread-safe.
    class operator_client {
    public:
        explicit operator_client(operator_client_options options);

        /// All calls of the schema.
        static std::vector<call_description> calls();

        /// Runs a command, with the parameters that the schema describes.
        tl::expected<Json::Value, client_error> command(
            const std::string& name, const Json::Value& operation, const Json::Value& request);
        tl::expected<Json::Value, client_error> query(const std::string& name, const Json::Value& request);

    private:
        operator_client_options m_options;
    };

} // namespace rpc
} // namespace shallotcove
