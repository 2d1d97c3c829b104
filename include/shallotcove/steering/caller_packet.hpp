#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

/// Header of a packet that a caller sent, without its payload.
struct caller_packet {
    flow_address flow;
    /// First packet of a flow, or a copy of it.
    bool isOpening {};
    bool isAcknowledging {};
    bool isClosing {};
    bool isReset {};
    std::uint32_t sequence {};
    std::uint32_t acknowledgement {};
    /// In an opening packet: time since the caller sent the first copy.
    std::chrono::milliseconds age {};
    /// Keyed sum that only the ends of the flow can compute; carried as it is.
    std::uint32_t checksum {};
    std::uint16_t payloadBytes {};
    /// Backend server that the caller last heard of in this flow; none in an opening packet.
    server_tag tag;

    friend auto operator<=>(const caller_packet&, const caller_packet&) = default;
};

} // namespace shallotcove::steering
