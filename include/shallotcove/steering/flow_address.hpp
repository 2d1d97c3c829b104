#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace shallotcove::steering {

/// IPv4 addresses and ports of the two ends of a flow, in host byte order.
struct flow_address {
    std::uint32_t callerAddress {};
    std::uint32_t serviceAddress {};
    std::uint16_t callerPort {};
    std::uint16_t servicePort {};

    /// Identifies the flow in logs, for example "198.51.100.7:40001>192.0.2.1:443".
    std::string toString() const;

    friend auto operator<=>(const flow_address&, const flow_address&) = default;
};

} // namespace shallotcove::steering

template <> struct std::hash<shallotcove::steering::flow_address> {
    std::size_t operator()(const shallotcove::steering::flow_address&) const noexcept;
};
