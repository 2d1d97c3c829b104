#pragma once

#include <string>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/operation_error.hpp>

namespace shallotcove::core {

struct operation_failure {
    operation_error error { operation_error::InvalidArgument };
    /// Message for the operator: what is wrong in which field, and what is allowed. For a conflict, who
    /// changed what.
    std::string message;

    friend bool operator==(const operation_failure&, const operation_failure&) = default;
};

} // namespace shallotcove::core
