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
    /// The address belongs to another service, or hosts still have to apply its removal.
    AddressInUse,
    /// The epochs of the service do not allow another change yet.
    TooManyChanges,
};

} // namespace shallotcove::core
