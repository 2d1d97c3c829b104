#pragma once

#include <cstdint>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// Result of an operation on a value: the new value to write. For a repeated operation id there is nothing to
/// write.
template <typename Config> struct operation_result {
    Config config;
    /// True if the operation was applied before; config is then the current value.
    bool isRepeat {};
    /// Revision that the operation produced.
    std::uint64_t revision {};
};

} // namespace shallotcove::core
