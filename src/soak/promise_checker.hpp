#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/routing_config.hpp>
#include <shallotcove/steering/server_entry.hpp>

#include "soak_bounds.hpp"
#include "violation.hpp"

namespace shallotcove::soak {

/// Checks the promises against what callers, backend servers and the operator observed. Uses no sockets,
/// threads or clocks, so that tests can verify for each promise that a violation is reported.
class promise_checker {
public:
    explicit promise_checker(const soak_bounds& bounds = {});

    // Operator and server changes; the time is that of the store's response.

    /// Routes whose names begin with "probe" lead to servers that always have capacity, so a refusal shows
    /// which configuration a host uses.
    void recordConfig(const steering::routing_config&, core::timestamp now);
    void recordServer(const steering::server_entry&, core::timestamp now);
    /// The server's store entry says that it is draining, or was removed.
    void recordServerLeaving(const std::string& server, core::timestamp now);
    /// The server crashed or exited; its flows are lost.
    void recordServerEnd(const std::string& server);
    void recordDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now);
    void recordColdServer(const std::string& server, double flowsPerSecond, core::timestamp until);

    // Disturbances. Time limits are not checked for a disturbed host until it has been undisturbed for the
    // settle time.

    void beginHostDisturbance(const std::string& host, core::timestamp now);
    void endHostDisturbance(const std::string& host, core::timestamp now);
    /// A store disturbance affects all hosts.
    void beginStoreDisturbance(core::timestamp now);
    void endStoreDisturbance(core::timestamp now);
    /// Period of host, server or link faults during which requests may be lost.
    void recordTrafficDisturbance(core::timestamp from, core::timestamp until);
    /// A new process of the host starts.
    void recordHostStart(const std::string& host);
    /// The process exited. terminationRequestedAt is empty if nobody asked it to exit; the status is ignored
    /// if it was killed.
    void recordHostExit(const std::string& host, std::optional<core::timestamp> terminationRequestedAt,
        bool wasKilled, int status, core::timestamp now);

    /// The process was asked to exit and is still running after its grace period.
    void recordOverdueShutdown(const std::string& host, core::timestamp now);

    // Observations of callers and servers.

    /// A server accepted the opening packet of a flow; sentAt is when the caller sent it.
    void recordOpeningPacket(const steering::flow_address&, const std::string& server,
        const std::string& host, core::timestamp sentAt, core::timestamp now);
    void recordFlowOpen(const steering::flow_address&, const std::string& server);
    void recordFlowEnd(const steering::flow_address&);
    /// A packet of an open flow arrived at a server.
    void recordPacket(const steering::flow_address&, const std::string& server, core::timestamp now);
    /// A datagram arrived at a server, unmodified or not.
    void recordDatagramArrival(
        bool isIntact, const std::string& server, const std::string& host, core::timestamp now);
    void recordRequestRun(
        std::uint64_t request, const steering::flow_address&, bool isIdempotent, core::timestamp now);
    /// A host refused a flow; sentAt is when the caller began to open it.
    void recordRefusal(const steering::flow_address&, std::uint64_t request, const std::string& host,
        core::timestamp sentAt, core::timestamp now);
    /// A server reset a flow that it has no state for.
    void recordUnknownFlowReset(
        const steering::flow_address&, const std::string& server, core::timestamp now);
    void recordRequestOutcome(
        const steering::flow_address&, core::timestamp startedAt, core::timestamp endedAt, bool isServed);
    /// The last fault is over.
    void recordFaultsEnd(core::timestamp now) { m_faultsEndedAt = now; }

    /// Checks the promises that can only be evaluated at the end of the run.
    void finish(core::timestamp now);

    /// The server of an open flow; empty if the flow is not open.
    std::string serverOf(const steering::flow_address&) const;
    const std::vector<violation>& violations() const { return m_violations; }
    std::size_t checkCount(promise) const;

private:
    struct tracked_server {
        std::string service;
        std::string dataCentre;
        std::optional<core::timestamp> leavingSince;
        double coldFlowsPerSecond {};
        core::timestamp coldUntil;
        std::deque<core::timestamp> openingTimes;
        bool isRunning { true };
    };

    struct open_flow {
        std::string server;
        std::deque<core::timestamp> misroutedPackets;
        core::timestamp lastOwnPacket;
    };

    struct disturbance {
        int depth {};
        core::timestamp endedAt;
        bool hasOccurred {};
    };

    struct span {
        core::timestamp from;
        core::timestamp until;
    };

    struct request_outcome {
        steering::flow_address flow;
        core::timestamp startedAt;
        core::timestamp endedAt;
        bool isServed {};
    };

    void countCheck(promise checked) { ++m_checks[checked]; }
    void reportViolation(promise, core::timestamp now, std::string text);
    bool isSettled(const disturbance&, core::timestamp now) const;
    bool isHostSettled(const std::string& host, core::timestamp now) const;
    bool wasDisturbed(const request_outcome&) const;
    void checkRoute(const steering::flow_address&, const tracked_server&, const std::string& server,
        const std::string& host, core::timestamp sentAt, core::timestamp now);
    void checkColdLimit(tracked_server&, const std::string& server, core::timestamp now);
    void endDisturbance(disturbance&, core::timestamp now);

    soak_bounds m_bounds;
    std::map<promise, std::size_t> m_checks;
    std::vector<violation> m_violations;
    std::map<std::string, tracked_server> m_servers;
    std::map<std::string, core::timestamp> m_dataCentresOut;
    /// All services that any configuration so far allowed for an address.
    std::map<steering::route_address, std::set<std::string>> m_allowedServices;
    std::set<steering::route_address> m_probeRoutes;
    std::map<steering::route_address, core::timestamp> m_routeAddedAt;
    std::map<steering::route_address, core::timestamp> m_routeRemovedAt;
    /// When the current process of a host first showed that it knows the current state of a route.
    std::map<std::pair<std::string, steering::route_address>, core::timestamp> m_routeStateSeenAt;
    std::map<std::string, disturbance> m_hosts;
    disturbance m_store;
    std::vector<span> m_trafficDisturbances;
    std::map<steering::flow_address, open_flow> m_flows;
    std::map<std::uint64_t, int> m_runCounts;
    /// The last request of a flow address that ran, and the last that was refused.
    std::map<steering::flow_address, std::uint64_t> m_lastRun;
    std::map<steering::flow_address, std::uint64_t> m_lastRefused;
    std::vector<request_outcome> m_requests;
    std::optional<core::timestamp> m_faultsEndedAt;
};

} // namespace shallotcove::soak
