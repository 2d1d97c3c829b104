#pragma once

#include <string>

#include <json/json.h>
#include <tl/expected.hpp>

namespace shallotcove {
namespace rpc {

    /// Error codes of the JSON-RPC 2.0 specification.
    constexpr int parseErrorCode = -32700;
    constexpr int invalidRequestCode = -32600;
    constexpr int internalErrorCode = -32603;

    struct json_rpc_error {
        int code;
        std::string message;
        /// Id of the request, null if it is not known.
        Json::Value id;
    };

    /// Parses JSON and rejects comments, repeated keys and trailing text. The error is a human-readable
    /// message.
    tl::expected<Json::Value, std::string> parseStrictJson(const std::string& text);
    std::string formatCompactJson(const Json::Value& value);
    std::string formatErrorResponse(const json_rpc_error& error);

    /// Validates a request before libjsonrpccpp parses it. A valid request is a single call, not a batch or
    /// notification, and its parameters are exactly the objects that the schema names.
    tl::expected<void, json_rpc_error> checkRequest(const std::string& text);
    /// Checks that a response has a result or an error with code and message. The error is a human-readable
    /// message.
    tl::expected<Json::Value, std::string> checkResponse(const std::string& text);

} // namespace rpc
} // namespace shallotcove
