#pragma once

#include <cstdint>
#include <string>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::core {

/// Callers with a common source prefix, whose new flows are counted and limited together.
struct caller_class {
    std::string name;
    ip_address prefix;
    /// 0 to 128 bits of the v4-mapped form: an IPv4 /24 is 120.
    std::uint8_t prefixLength {};
    /// Limit on new flows per second over the whole service; 0 means unlimited.
    std::uint32_t newFlowsPerSecond {};

    friend bool operator==(const caller_class&, const caller_class&) = default;
};

} // namespace shallotcove::core
