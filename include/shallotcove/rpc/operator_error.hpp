#pragma once

#include <string>

namespace shallotcove {
namespace rpc {

    /// Errors of operator calls. The numbers are the JSON-RPC error codes.
    enum class operator_error {
        InvalidArgument = 1001,
        NotFound = 1002,
        AlreadyExists = 1003,
        Conflict = 1004,
        AddressInUse = 1005,
        TooManyChanges = 1006,
        Unauthorized = 1007,
        StoreUnavailable = 1008,
        /// A write may or may not have taken effect; a retry with the same operation id
        /// returns the outcome.
        OutcomeUnknown = 1009,
    };

    /// Name of the error in the schema, "Unknown" for any other number.
    std::string errorName(operator_error error);

} // namespace rpc
} // namespace shallotcove
