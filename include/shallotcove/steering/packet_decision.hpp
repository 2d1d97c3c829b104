#pragma once

#include <cstdint>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

enum class packet_action : std::uint8_t { Forward, Refuse, Drop };

/// Why a packet is not forwarded.
enum class packet_reason : std::uint8_t {
    None,
    /// No route leads to the address and port.
    NoRoute,
    /// The service has no server that may take new flows.
    NoServer,
    /// All servers that may take the flow are cold and have had their part of flows for this second.
    ColdLimit,
    /// No server can answer before the caller gives up.
    Overload,
    /// The configuration or the list of servers has not been read yet.
    NotReady,
    /// A copy of the first packet of a flow that is open or has ended.
    StaleCopy,
    /// The packet names no server, or one that is not known.
    UnknownServer,
    /// No server has room; the flow waits for one.
    Waiting,
    /// An opening packet that waited in the socket while the host stood still.
    Outdated,
    /// The flow ends in a data centre that was taken out some time ago.
    DataCentreOut,
};

/// What happens to one packet.
struct packet_decision {
    packet_action action { packet_action::Drop };
    packet_reason reason { packet_reason::None };
    core::socket_address server;
    std::uint64_t wireId {};
    /// Written into opening packets; others carry it already.
    server_tag tag;

    friend bool operator==(const packet_decision&, const packet_decision&) = default;
};

const char* textOf(packet_reason);

} // namespace shallotcove::steering
