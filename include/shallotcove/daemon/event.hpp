#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <shallotcove/daemon/settings.hpp>

namespace shallotcove::daemon {

/// Numbered log events; docs/events.md describes the cause of each event and the action to take. Numbers are
/// never reused.
enum class event : std::uint16_t {
    HostStarted = 100,
    ShutdownStarted = 101,
    ShutdownFinished = 102,
    ShutdownForced = 103,
    StartFailed = 104,
    TaggedHostStarted = 105,
    SettingsReloaded = 106,
    SettingsRefused = 107,
    TaggedShutdown = 108,
    MemberChanged = 200,
    SyncChanged = 201,
    PeerInputDropped = 202,
    PeerSendFailed = 203,
    StoreUnavailable = 300,
    StoreAvailable = 301,
    ConfigApplied = 302,
    LeaseTaken = 303,
    LeaseLost = 304,
    HostListUnavailable = 305,
    HostListAvailable = 306,
    WatchStarted = 307,
    WatchStopped = 308,
    PlannerWriteRefused = 309,
    PlannerWriteLost = 310,
    ConfigUnreadable = 311,
    LeaseReleased = 312,
    StoreCallFailed = 313,
    StoreCallAnswered = 314,
    StoreHistoryDropped = 315,
    StoreListingIgnored = 316,
    ConfigInForce = 317,
    ServerChanged = 318,
    DataCentreOutChanged = 319,
    StoreItemUnreadable = 320,
    WatchDutyChanged = 321,
    ChangesFetched = 322,
    ServersListed = 323,
    CatchUpStarted = 324,
    CatchUpEnded = 325,
    OperationAccepted = 400,
    OperationRefused = 401,
    OperationUnknown = 402,
    PacketInputDropped = 500,
    PacketSendFailed = 501,
    RingFull = 502,
    FlowPlaced = 600,
    FlowPlacedAgain = 601,
    FlowRefused = 602,
    FlowEnded = 603,
    FlowAbandoned = 604,
    ServerSuspected = 605,
    ServerTrusted = 606,
    DataCentreSuspected = 607,
    DataCentreTrusted = 608,
    ReadinessChanged = 609,
    KnownHostsChanged = 610,
    LogLinesDropped = 611,
    FlowWaiting = 612,
    HostPaused = 613,
    FlowDeclined = 614,
    ServerUnanswered = 615,
    ServiceFull = 616,
    ServiceFree = 617,
    FlowLimitChanged = 620,
};

/// One row of eventTable.
struct event_definition {
    event id {};
    std::string_view name;
    log_level level {};
    std::string_view text;
    /// Names of the fields, in the order in which event_log::write() takes their values; unused entries are
    /// empty.
    std::array<std::string_view, 10> fields {};

    constexpr std::size_t fieldCount() const
    {
        std::size_t count = 0;
        while (count < fields.size() && !fields[count].empty())
            ++count;
        return count;
    }
};

inline constexpr std::array eventTable {
    event_definition { event::HostStarted, "HostStarted", log_level::Info, "host started",
        { "dataCentre", "packetAddress", "peerAddress", "operatorAddress", "metricsAddress" } },
    event_definition { event::ShutdownStarted, "ShutdownStarted", log_level::Info,
        "graceful shutdown started", { "signal", "timeoutSeconds" } },
    event_definition { event::ShutdownFinished, "ShutdownFinished", log_level::Info,
        "graceful shutdown finished", { "cause", "milliseconds" } },
    event_definition { event::ShutdownForced, "ShutdownForced", log_level::Warning,
        "second signal, ending at once", { "signal" } },
    event_definition { event::StartFailed, "StartFailed", log_level::Error, "host cannot start",
        { "field", "value", "cause" } },
    event_definition { event::TaggedHostStarted, "TaggedHostStarted", log_level::Info, "host started",
        { "dataCentre", "packetAddress", "readinessAddress", "peerAddress", "metricsAddress",
            "storeAddress" } },
    event_definition { event::SettingsReloaded, "SettingsReloaded", log_level::Info, "settings read again",
        { "cause", "changed" } },
    event_definition { event::SettingsRefused, "SettingsRefused", log_level::Warning,
        "settings refused, former settings stay in force", { "cause", "problem" } },
    event_definition { event::TaggedShutdown, "TaggedShutdown", log_level::Info, "graceful shutdown finished",
        { "cause", "milliseconds", "openFlows" } },
    event_definition { event::MemberChanged, "MemberChanged", log_level::Info, "member changed state",
        { "peerAddress", "memberDataCentre", "from", "to", "incarnation" } },
    event_definition { event::SyncChanged, "SyncChanged", log_level::Info,
        "state of the host's view of the fleet changed", { "from", "to", "configIndex" } },
    event_definition { event::PeerInputDropped, "PeerInputDropped", log_level::Warning,
        "peer messages dropped", { "reason", "count", "lastSender" } },
    event_definition { event::PeerSendFailed, "PeerSendFailed", log_level::Warning, "peer messages not sent",
        { "cause", "count" } },
    event_definition { event::StoreUnavailable, "StoreUnavailable", log_level::Warning,
        "key-value service unavailable", { "call", "cause" } },
    event_definition { event::StoreAvailable, "StoreAvailable", log_level::Info,
        "key-value service available again", { "call", "outageMilliseconds" } },
    event_definition { event::ConfigApplied, "ConfigApplied", log_level::Info, "configuration applied",
        { "configIndex", "services" } },
    event_definition { event::LeaseTaken, "LeaseTaken", log_level::Info, "planner's lease taken", {} },
    event_definition {
        event::LeaseLost, "LeaseLost", log_level::Warning, "planner's lease lost", { "cause" } },
    event_definition { event::HostListUnavailable, "HostListUnavailable", log_level::Warning,
        "list of hosts unavailable", { "cause" } },
    event_definition { event::HostListAvailable, "HostListAvailable", log_level::Info,
        "list of hosts available again", { "hosts", "outageMilliseconds" } },
    event_definition { event::WatchStarted, "WatchStarted", log_level::Info,
        "watch on the key-value service started", { "fromIndex" } },
    event_definition { event::WatchStopped, "WatchStopped", log_level::Info,
        "watch on the key-value service stopped", { "cause" } },
    event_definition { event::PlannerWriteRefused, "PlannerWriteRefused", log_level::Info,
        "planner's write refused, key has changed", { "key" } },
    event_definition { event::PlannerWriteLost, "PlannerWriteLost", log_level::Warning,
        "planner's write without answer", { "key", "cause" } },
    event_definition { event::ConfigUnreadable, "ConfigUnreadable", log_level::Warning,
        "value in the key-value service cannot be read, former value stays in force", { "key", "index" } },
    event_definition {
        event::LeaseReleased, "LeaseReleased", log_level::Info, "planner's lease released", {} },
    event_definition { event::StoreCallFailed, "StoreCallFailed", log_level::Warning,
        "call to the store failed, the host continues with its last view of the store",
        { "call", "cause", "revision", "viewAgeMs" } },
    event_definition { event::StoreCallAnswered, "StoreCallAnswered", log_level::Info, "store answers again",
        { "call", "revision", "outageMs", "failedCalls" } },
    event_definition { event::StoreHistoryDropped, "StoreHistoryDropped", log_level::Info,
        "store no longer has the history of changes, all items are read again", { "revision" } },
    event_definition { event::StoreListingIgnored, "StoreListingIgnored", log_level::Warning,
        "listing of the store is older than the host's view of it", { "listingRevision", "revision" } },
    event_definition { event::ConfigInForce, "ConfigInForce", log_level::Info, "configuration in force",
        { "version", "revision", "routes", "services" } },
    event_definition { event::ServerChanged, "ServerChanged", log_level::Info, "backend server changed",
        { "server", "change", "service", "serverAddress", "serverDataCentre", "revision", "coldForMs",
            "startedAtMs" } },
    event_definition { event::DataCentreOutChanged, "DataCentreOutChanged", log_level::Info,
        "data centre taken out of use or put back", { "dataCentre", "isOut", "revision" } },
    event_definition { event::StoreItemUnreadable, "StoreItemUnreadable", log_level::Warning,
        "item of the store cannot be read", { "key", "cause", "revision" } },
    event_definition { event::WatchDutyChanged, "WatchDutyChanged", log_level::Info,
        "source of changes of the store changed", { "source", "neighbour", "revision" } },
    event_definition { event::ChangesFetched, "ChangesFetched", log_level::Info,
        "asked a neighbour for changes of the store", { "neighbour", "outcome", "revision" } },
    event_definition { event::ServersListed, "ServersListed", log_level::Info,
        "several ready backend servers added in one update", { "servers", "revision" } },
    event_definition { event::CatchUpStarted, "CatchUpStarted", log_level::Info,
        "view of the store may be outdated, reading it again", { "cause", "revision" } },
    event_definition { event::CatchUpEnded, "CatchUpEnded", log_level::Info,
        "view of the store read again after missed changes",
        { "source", "durationMs", "fromRevision", "revision", "calls" } },
    event_definition { event::OperationAccepted, "OperationAccepted", log_level::Info,
        "operator's change accepted", { "operation", "operationId", "author", "target", "revision" } },
    event_definition { event::OperationRefused, "OperationRefused", log_level::Info,
        "operator's change refused", { "operation", "operationId", "author", "target", "error", "cause" } },
    event_definition { event::OperationUnknown, "OperationUnknown", log_level::Warning,
        "operator's change without answer, outcome unknown",
        { "operation", "operationId", "author", "target" } },
    event_definition { event::PacketInputDropped, "PacketInputDropped", log_level::Warning,
        "malformed packets dropped", { "reason", "count" } },
    event_definition {
        event::PacketSendFailed, "PacketSendFailed", log_level::Warning, "packets not sent", { "count" } },
    event_definition { event::RingFull, "RingFull", log_level::Warning, "ring full, newest items dropped",
        { "ring", "count" } },
    event_definition { event::FlowPlaced, "FlowPlaced", log_level::Info, "flow offered to a server",
        { "flow", "server", "route", "openFlows", "neighbourFlows", "permitted", "trusted",
            "configVersion" } },
    event_definition { event::FlowPlacedAgain, "FlowPlacedAgain", log_level::Info,
        "flow offered to another server, the former did not answer in time",
        { "flow", "server", "route", "openFlows", "neighbourFlows", "permitted", "trusted", "configVersion",
            "attempt", "elapsedMs" } },
    event_definition { event::FlowRefused, "FlowRefused", log_level::Info, "flow refused, it has not run",
        { "flow", "reason", "route", "priority", "permitted", "trusted", "configVersion" } },
    event_definition { event::FlowEnded, "FlowEnded", log_level::Info, "caller closed the flow",
        { "flow", "server", "attempt", "elapsedMs" } },
    event_definition { event::FlowAbandoned, "FlowAbandoned", log_level::Info,
        "flow was silent for longer than its caller waits", { "flow", "server", "attempt", "elapsedMs" } },
    event_definition { event::ServerSuspected, "ServerSuspected", log_level::Warning,
        "server does not answer opening packets, it gets no new flows",
        { "server", "unanswered", "openFlows" } },
    event_definition {
        event::ServerTrusted, "ServerTrusted", log_level::Info, "server answers again", { "server" } },
    event_definition { event::DataCentreSuspected, "DataCentreSuspected", log_level::Warning,
        "several servers of a data centre do not answer, the data centre gets no new flows",
        { "dataCentre", "server" } },
    event_definition { event::DataCentreTrusted, "DataCentreTrusted", log_level::Info,
        "data centre answers again", { "dataCentre", "server" } },
    event_definition { event::ReadinessChanged, "ReadinessChanged", log_level::Info,
        "readiness for callers changed", { "from", "to", "unreachablePercent" } },
    event_definition { event::KnownHostsChanged, "KnownHostsChanged", log_level::Info,
        "number of known hosts changed", { "hosts" } },
    event_definition { event::LogLinesDropped, "LogLinesDropped", log_level::Warning,
        "log lines dropped because the rate limit was exceeded", { "count" } },
    event_definition { event::FlowWaiting, "FlowWaiting", log_level::Info,
        "no server has capacity left, the flow waits at the host",
        { "flow", "route", "priority", "permitted", "trusted", "configVersion" } },
    event_definition { event::HostPaused, "HostPaused", log_level::Warning,
        "host did not run, opening packets received in that time are dropped", { "milliseconds" } },
    event_definition { event::FlowDeclined, "FlowDeclined", log_level::Info,
        "flow is refused unless its caller shows that another host opened it",
        { "flow", "reason", "configVersion" } },
    event_definition { event::ServerUnanswered, "ServerUnanswered", log_level::Warning,
        "server leaves requests unanswered, it gets no new flows", { "server", "openFlows" } },
    event_definition { event::ServiceFull, "ServiceFull", log_level::Warning,
        "servers of a service have no free slots",
        { "service", "dataCentre", "usableSlots", "requestsInProgress", "readyServers", "trustedServers",
            "slowServers" } },
    event_definition { event::ServiceFree, "ServiceFree", log_level::Info,
        "servers of a service have free slots again",
        { "service", "dataCentre", "usableSlots", "requestsInProgress", "readyServers", "trustedServers",
            "slowServers" } },
    event_definition { event::FlowLimitChanged, "FlowLimitChanged", log_level::Info,
        "limit of flows per slot of a service changed", { "service", "flowsPer100Slots" } },
};

constexpr const event_definition& definitionOf(event id)
{
    return *std::find_if(
        eventTable.begin(), eventTable.end(), [id](const event_definition& row) { return row.id == id; });
}

} // namespace shallotcove::daemon
