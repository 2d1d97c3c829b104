#pragma once

#include <cstdint>

#include <json/json.h>

namespace shallotcove::daemon {

/// Bounds of an integer setting, both inclusive.
struct number_range {
    std::uint64_t minimum {};
    std::uint64_t maximum {};
    bool isPowerOfTwo {};
};

} // namespace shallotcove::daemon
