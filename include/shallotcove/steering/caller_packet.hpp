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
    /// First packet of a flow, or a retransmission of it.
    bool isOpening {};
    bool isAcknowledging {};
    bool isClosing {};
    bool isReset {};
    std::uint32_t sequence {};
    std::uint32_t acknowledgement {};
    /// In an opening packet: time since the caller sent the first transmission.
    std::chrono::milliseconds age {};
    /// Keyed checksum that only the two ends of the flow can compute; forwarded unchanged.
    std::uint32_t checksum {};
    std::uint16_t payloadBytes {};
    /// Backend server named in the last packet of this flow that the caller received; none in an opening
    /// packet.
    server_tag tag;

    friend auto operator<=>(const caller_packet&, const caller_packet&) = default;
};

} // namespace shallotcove::steering
