#pragma once

#include <cstdint>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// Result of an operation on a value: the value to write, or, for a repeated operation id, nothing to write.
template <typename Config> struct operation_result {
    Config config;
    /// True if the operation was done before; config is then the current value.
    bool isRepeat {};
    /// Revision that the operation made.
    std::uint64_t revision {};
};

} // namespace shallotcove::core
