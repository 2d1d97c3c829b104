#pragma once

#include <cstdint>
#include <string>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/packet_decision.hpp>

namespace shallotcove::steering {

enum class steering_event_kind : std::uint8_t {
    FlowPlaced,
    FlowWaiting,
    /// The server did not answer in time, or the caller retransmitted its opening packet.
    FlowPlacedAgain,
    /// To be refused, unless a packet of the caller shows that another host opened the flow.
    FlowDeclined,
    FlowRefused,
    FlowEnded,
    /// The flow was idle for longer than its idle timeout, or its caller continued through another host.
    FlowAbandoned,
    ServerSuspected,
    ServerTrusted,
    /// The server opens flows but leaves requests unanswered.
    ServerUnanswered,
    /// The server gets no flows, because another one has the same tag and started earlier.
    ServerWithoutTag,
    DataCentreSuspected,
    DataCentreTrusted,
    /// The servers of a service in a data centre have no free slots, or have some again.
    ServiceFull,
    ServiceFree,
    /// The limit of flows per slot of a service with long flows changed.
    FlowLimitChanged,
};

/// A decision on a flow, or a change in what the host believes about a server or data centre, with the values
/// that led to it. Written to logs and metrics.
struct steering_event {
    steering_event_kind kind {};
    core::timestamp at;
    flow_address flow;
    /// Backend server, or 0 for none.
    std::uint64_t wireId {};
    /// Name of the route, of the data centre for DataCentreSuspected and DataCentreTrusted, of the service
    /// for ServiceFull, ServiceFree and FlowLimitChanged, or id of the server for ServerWithoutTag.
    std::string subject;
    /// Priority of the route, for FlowWaiting and FlowRefused.
    std::uint32_t priority {};
    packet_reason reason { packet_reason::None };
    /// Number of servers that the flow has been offered to, including this one.
    std::uint32_t attempt {};
    /// Open flows at the server before this one, placed by this host and by its neighbours.
    std::uint32_t openFlows {};
    std::uint32_t neighbourFlows {};
    /// Servers that may take new flows, and how many of them are not suspect.
    std::uint32_t permitted {};
    std::uint32_t trusted {};
    /// Opening packets in a row that the server left unanswered.
    std::uint32_t unanswered {};
    std::uint64_t configVersion {};
    /// Room of a service in this data centre, and the number of its servers that are slow.
    std::string dataCentre;
    double usableSlots {};
    double requestsInProgress {};
    std::uint32_t slowServers {};
    /// The limit, for FlowLimitChanged.
    double flowsPerSlot {};
    /// Whether the flow waited at this host, for FlowPlaced.
    bool hasWaited {};
    /// Time since the first packet of the flow reached this host.
    core::duration elapsed {};
};

} // namespace shallotcove::steering
