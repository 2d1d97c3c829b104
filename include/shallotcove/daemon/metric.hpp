#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace shallotcove::daemon {

/// Metrics of one host; docs/metrics.md describes them.
enum class metric : std::uint8_t {
    PacketsReceived,
    PacketsForwarded,
    PacketsRedirected,
    PacketsRefused,
    PacketsDropped,
    PacketHandling,
    LocalFlows,
    TrackedFlows,
    ServiceNewFlows,
    ClassNewFlows,
    ClassRefused,
    RingOccupancy,
    RingDropped,
    ReportsPostponed,
    LiveEpochs,
    ControlSent,
    ControlReceived,
    PeerDropped,
    StoreCalls,
    ConfigIndex,
    Members,
    SyncState,
    OperatorCalls,
    OperatorCallTime,
    FlowsOffered,
    FlowTime,
    ServersSuspected,
    Readiness,
    KnownHosts,
    LogLinesDropped,
    CatchUps,
    CatchUpCalls,
    RequestsHeld,
    ServiceUsableSlots,
    ServiceRequests,
    ServiceFreeSlots,
    RouteWaits,
    RouteRefusals,
    RouteWaitTime,
    FlowLimit,
};

enum class metric_kind : std::uint8_t { Counter, Gauge, Histogram };

/// One row of metricTable, whose rows are in the order of the enumerators.
struct metric_definition {
    metric id {};
    std::string_view name;
    metric_kind kind {};
    std::string_view help;
    std::array<std::string_view, 2> labels {};
};

inline constexpr std::array metricTable {
    metric_definition { metric::PacketsReceived, "shallotcove_packets_received_total", metric_kind::Counter,
        "Datagrams received on the packet socket.", { "source" } },
    metric_definition { metric::PacketsForwarded, "shallotcove_packets_forwarded_total", metric_kind::Counter,
        "Packets forwarded to backend servers.", {} },
    metric_definition { metric::PacketsRedirected, "shallotcove_packets_redirected_total",
        metric_kind::Counter, "Packets redirected to other hosts.", { "stage" } },
    metric_definition { metric::PacketsRefused, "shallotcove_packets_refused_total", metric_kind::Counter,
        "Packets answered with a refusal.", { "reason" } },
    metric_definition { metric::PacketsDropped, "shallotcove_packets_dropped_total", metric_kind::Counter,
        "Packets dropped.", { "reason" } },
    metric_definition { metric::PacketHandling, "shallotcove_packet_handling_seconds", metric_kind::Histogram,
        "Time from the receipt of a batch to the decision on a sampled packet of it.", { "service" } },
    metric_definition { metric::LocalFlows, "shallotcove_local_flows", metric_kind::Gauge,
        "Entries of the local flow table.", {} },
    metric_definition { metric::TrackedFlows, "shallotcove_tracked_flows", metric_kind::Gauge,
        "Entries of the table of tracked flows.", {} },
    metric_definition { metric::ServiceNewFlows, "shallotcove_service_new_flows_total", metric_kind::Counter,
        "Flows placed, by backend server.", { "service", "server" } },
    metric_definition { metric::ClassNewFlows, "shallotcove_class_new_flows", metric_kind::Histogram,
        "New flows of a caller class in one reporting period of the packet thread.",
        { "service", "caller_class" } },
    metric_definition { metric::ClassRefused, "shallotcove_class_refused_total", metric_kind::Counter,
        "Callers refused, by caller class.", { "service", "caller_class" } },
    metric_definition { metric::RingOccupancy, "shallotcove_ring_occupancy", metric_kind::Gauge,
        "Items waiting in a ring.", { "ring" } },
    metric_definition { metric::RingDropped, "shallotcove_ring_dropped_total", metric_kind::Counter,
        "Items dropped because a ring was full.", { "ring" } },
    metric_definition { metric::ReportsPostponed, "shallotcove_reports_postponed_total", metric_kind::Counter,
        "Reports of the packet thread that waited because their ring was full.", {} },
    metric_definition { metric::LiveEpochs, "shallotcove_live_epochs", metric_kind::Gauge,
        "Epochs of a service that are not retired.", { "service" } },
    metric_definition { metric::ControlSent, "shallotcove_control_sent_bytes_total", metric_kind::Counter,
        "Bytes of peer messages sent, without IP and UDP headers.", {} },
    metric_definition { metric::ControlReceived, "shallotcove_control_received_bytes_total",
        metric_kind::Counter, "Bytes of peer messages received, without IP and UDP headers.", {} },
    metric_definition { metric::PeerDropped, "shallotcove_peer_messages_dropped_total", metric_kind::Counter,
        "Peer messages dropped.", { "reason" } },
    metric_definition { metric::StoreCalls, "shallotcove_store_calls_total", metric_kind::Counter,
        "Requests sent to the key-value service.", {} },
    metric_definition { metric::ConfigIndex, "shallotcove_config_index", metric_kind::Gauge,
        "Store revision up to which all changes are applied.", {} },
    metric_definition {
        metric::Members, "shallotcove_members", metric_kind::Gauge, "Hosts known, by state.", { "state" } },
    metric_definition { metric::SyncState, "shallotcove_sync_state", metric_kind::Gauge,
        "1 for the state that the host's view of the fleet is in, 0 for the others.", { "state" } },
    metric_definition { metric::OperatorCalls, "shallotcove_operator_calls_total", metric_kind::Counter,
        "Operator calls, by outcome.", { "operation", "outcome" } },
    metric_definition { metric::OperatorCallTime, "shallotcove_operator_call_seconds", metric_kind::Histogram,
        "Time to answer an operator call.", { "operation" } },
    metric_definition { metric::FlowsOffered, "shallotcove_flows_offered_total", metric_kind::Counter,
        "Flows offered to backend servers.", { "attempt" } },
    metric_definition { metric::FlowTime, "shallotcove_flow_seconds", metric_kind::Histogram,
        "Time from the first packet of a flow to its end.", { "route" } },
    metric_definition { metric::ServersSuspected, "shallotcove_suspicions_total", metric_kind::Counter,
        "Suspicions that began.", { "subject" } },
    metric_definition { metric::Readiness, "shallotcove_readiness", metric_kind::Gauge,
        "1 for the state of readiness that the host is in, 0 for the others.", { "state" } },
    metric_definition { metric::KnownHosts, "shallotcove_known_hosts", metric_kind::Gauge,
        "Hosts known, this one included.", {} },
    metric_definition { metric::LogLinesDropped, "shallotcove_log_lines_dropped_total", metric_kind::Counter,
        "Lines dropped at the limit of the log.", {} },
    metric_definition { metric::CatchUps, "shallotcove_catch_ups_total", metric_kind::Counter,
        "Completed catch-ups of the view of the store.", {} },
    metric_definition { metric::CatchUpCalls, "shallotcove_catch_up_calls_total", metric_kind::Counter,
        "Requests sent to the key-value service for catch-ups.", {} },
    metric_definition { metric::RequestsHeld, "shallotcove_requests_held_total", metric_kind::Counter,
        "Requests on open flows that were held while their server had no room.", { "step" } },
    metric_definition { metric::ServiceUsableSlots, "shallotcove_service_usable_slots", metric_kind::Gauge,
        "Slots of the servers of a service that may get new flows.", { "service", "data_centre" } },
    metric_definition { metric::ServiceRequests, "shallotcove_service_requests_in_progress",
        metric_kind::Gauge, "Requests in progress at the usable servers of a service.",
        { "service", "data_centre" } },
    metric_definition { metric::ServiceFreeSlots, "shallotcove_service_free_slots", metric_kind::Gauge,
        "Slots of the usable servers of a service without a request.", { "service", "data_centre" } },
    metric_definition { metric::RouteWaits, "shallotcove_route_waits_total", metric_kind::Counter,
        "Flows that waited at the host for a server.", { "route", "priority" } },
    metric_definition { metric::RouteRefusals, "shallotcove_route_refused_total", metric_kind::Counter,
        "Flows refused, by route.", { "route", "priority" } },
    metric_definition { metric::RouteWaitTime, "shallotcove_route_wait_seconds", metric_kind::Histogram,
        "Time that flows waited at the host until they got a server.", { "route" } },
    metric_definition { metric::FlowLimit, "shallotcove_flows_per_slot_limit", metric_kind::Gauge,
        "Limit of flows per slot in effect.", { "service" } },
};

constexpr const metric_definition& definitionOf(metric id)
{
    return metricTable[static_cast<std::size_t>(id)];
}

} // namespace shallotcove::daemon
