#pragma once

#include <cstdint>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

enum class operation_error : std::uint8_t {
    InvalidArgument,
    NotFound,
    AlreadyExists,
    /// The expected revision is not the current one.
    Conflict,
    /// The address belongs to another service, or to a removed one whose removal not every host has applied.
    AddressInUse,
    /// The service has the maximum number of live epochs; another change is possible once one has retired.
    TooManyChanges,
};

} // namespace shallotcove::core
