#pragma once

#include <string>

#include <json/json.h>
#include <tl/expected.hpp>

#include <shallotcove/rpc/operator_error.hpp>

namespace shallotcove {
namespace rpc {

    struct call_failure {
        operator_error error;
        /// Human-readable description of what is invalid, where, and what is allowed.
        std::string message;
    };

    /// Result of an operator call as described in the schema.
    using call_result = tl::expected<Json::Value, call_failure>;

} // namespace rpc
} // namespace shallotcove
