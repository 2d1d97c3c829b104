#pragma once

#include <cstdint>
#include <string>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::core {

/// Callers that are counted and limited together, by source prefix.
struct caller_class {
    std::string name;
    ip_address prefix;
    /// 0 to 128 on the v4-mapped form: an IPv4 /24 is 120.
    std::uint8_t prefixLength {};
    /// New flows a second for the whole service; 0 stands for unlimited.
    std::uint32_t newFlowsPerSecond {};

    friend bool operator==(const caller_class&, const caller_class&) = default;
};

} // namespace shallotcove::core
