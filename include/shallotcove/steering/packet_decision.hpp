#pragma once

#include <cstdint>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

enum class packet_action : std::uint8_t {
    Forward,
    Refuse,
    Drop,
    /// Keep the packet behind the held ones of its flow, until steering_engine::releaseRequests() returns it.
    Hold,
};

/// Why a packet is not forwarded, or not yet.
enum class packet_reason : std::uint8_t {
    None,
    /// No route exists for the address and port.
    NoRoute,
    /// The service has no server that may take new flows.
    NoServer,
    /// All servers that may take the flow are cold and have reached the limit of new flows for this second.
    ColdLimit,
    /// No server can answer before the caller gives up.
    Overload,
    /// The configuration or the list of servers has not been read yet.
    NotReady,
    /// A retransmitted opening packet of a flow that is open, has ended or was opened through another host.
    StaleCopy,
    /// The packet carries no tag, or the tag of an unknown server.
    UnknownServer,
    /// No server has room; the flow is queued, or its refusal is postponed.
    Waiting,
    /// An opening packet that was queued in the socket while the host was paused.
    Outdated,
    /// The server of the flow is in a data centre that was taken out of service longer ago than the
    /// evacuation grace period.
    DataCentreOut,
    /// The host holds an earlier copy of the packet.
    HeldCopy,
};

/// What to do with one packet.
struct packet_decision {
    packet_action action { packet_action::Drop };
    packet_reason reason { packet_reason::None };
    core::socket_address server;
    std::uint64_t wireId {};
    /// Written into opening packets; later packets already carry it.
    server_tag tag;

    friend bool operator==(const packet_decision&, const packet_decision&) = default;
};

const char* textOf(packet_reason);

} // namespace shallotcove::steering
