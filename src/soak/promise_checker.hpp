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

/// Judges what callers, backend servers and the operator saw. No sockets, threads or clocks, so that a test
/// can show for each promise that a breach is found.
class promise_checker {
public:
    explicit promise_checker(const soak_bounds& bounds = {});

    // What the operator and the servers did; times are those of the store's answer.

    /// Routes whose names begin with "probe" lead to servers with room at all times, so that a refusal tells
    /// which configuration a host uses.
    void recordConfig(const steering::routing_config&, core::timestamp now);
    void recordServer(const steering::server_entry&, core::timestamp now);
    /// The server's entry says that it drains, or is gone from the store.
    void recordLeaving(const std::string& server, core::timestamp now);
    /// The server crashed or ended; its flows are lost.
    void recordServerEnd(const std::string& server);
    void recordDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now);
    void recordCold(const std::string& server, double flowsPerSecond, core::timestamp until);

    // Trouble. A host in trouble is not judged by the bounds in time until it was well for the stable time.

    void beginHostTrouble(const std::string& host, core::timestamp now);
    void endHostTrouble(const std::string& host, core::timestamp now);
    /// Trouble of the store concerns all hosts.
    void beginStoreTrouble(core::timestamp now);
    void endStoreTrouble(core::timestamp now);
    /// Unplanned trouble of servers and links, during which requests may be lost.
    void recordTrafficTrouble(core::timestamp from, core::timestamp until);
    /// A new run of the host's process begins.
    void recordStart(const std::string& host);
    /// The process ended. It was told to at a time, or not at all; a signal that kills is no status.
    void recordExit(const std::string& host, std::optional<core::timestamp> toldAt, bool wasKilled,
        int status, core::timestamp now);

    /// The process was told to end and still runs after its grace time.
    void recordOverdueEnd(const std::string& host, core::timestamp now);

    // What callers and servers saw.

    /// A server took the first packet of a flow that its caller sent at a time.
    void recordOpening(const steering::flow_address&, const std::string& server, const std::string& host,
        core::timestamp sentAt, core::timestamp now);
    void recordFlowOpen(const steering::flow_address&, const std::string& server);
    void recordFlowEnd(const steering::flow_address&);
    /// A packet of an open flow arrived at a server.
    void recordPacket(const steering::flow_address&, const std::string& server, core::timestamp now);
    /// A datagram arrived at a server; it is as its sender wrote it, or not.
    void recordArrival(
        bool isIntact, const std::string& server, const std::string& host, core::timestamp now);
    void recordRun(
        std::uint64_t request, const steering::flow_address&, bool isRepeatable, core::timestamp now);
    /// A host refused a flow whose first packet was sent at a time.
    void recordRefusal(const steering::flow_address&, std::uint64_t request, const std::string& host,
        core::timestamp sentAt, core::timestamp now);
    /// A server reset a flow that it does not hold.
    void recordForeignReset(const steering::flow_address&, const std::string& server, core::timestamp now);
    void recordRequest(
        const steering::flow_address&, core::timestamp startedAt, core::timestamp endedAt, bool isServed);
    /// The last fault is over.
    void recordCalmFrom(core::timestamp now) { m_calmFrom = now; }

    /// Judges what can only be told at the end.
    void finish(core::timestamp now);

    /// The server of an open flow; empty if the flow is not open.
    std::string serverOf(const steering::flow_address&) const;
    const std::vector<violation>& violations() const { return m_violations; }
    std::size_t checks(promise) const;

private:
    struct known_server {
        std::string service;
        std::string dataCentre;
        std::optional<core::timestamp> leavingSince;
        double coldFlowsPerSecond {};
        core::timestamp coldUntil;
        std::deque<core::timestamp> openings;
        bool isAlive { true };
    };

    struct open_flow {
        std::string server;
        std::deque<core::timestamp> strayPackets;
        core::timestamp lastOwnPacket;
    };

    struct trouble {
        int depth {};
        core::timestamp endedAt;
        bool wasEver {};
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

    void count(promise kept) { ++m_checks[kept]; }
    void report(promise, core::timestamp now, std::string text);
    bool isWell(const trouble&, core::timestamp now) const;
    bool isInTouch(const std::string& host, core::timestamp now) const;
    bool wasDisturbed(const request_outcome&) const;
    void checkRoute(const steering::flow_address&, const known_server&, const std::string& server,
        const std::string& host, core::timestamp sentAt, core::timestamp now);
    void checkColdLimit(known_server&, const std::string& server, core::timestamp now);
    void endTrouble(trouble&, core::timestamp now);

    soak_bounds m_bounds;
    std::map<promise, std::size_t> m_checks;
    std::vector<violation> m_violations;
    std::map<std::string, known_server> m_servers;
    std::map<std::string, core::timestamp> m_dataCentresOut;
    /// All services that a configuration ever allowed for an address.
    std::map<steering::route_address, std::set<std::string>> m_allowed;
    std::set<steering::route_address> m_probes;
    std::map<steering::route_address, core::timestamp> m_routeAddedAt;
    std::map<steering::route_address, core::timestamp> m_routeRemovedAt;
    /// When a host's run showed that it knows the present state of a route.
    std::map<std::pair<std::string, steering::route_address>, core::timestamp> m_shownBy;
    std::map<std::string, trouble> m_hosts;
    trouble m_store;
    std::vector<span> m_trafficTrouble;
    std::map<steering::flow_address, open_flow> m_flows;
    std::map<std::uint64_t, int> m_runs;
    /// The last request of an address pair that ran, and the last that was refused.
    std::map<steering::flow_address, std::uint64_t> m_ran;
    std::map<steering::flow_address, std::uint64_t> m_refused;
    std::vector<request_outcome> m_requests;
    std::optional<core::timestamp> m_calmFrom;
};

} // namespace shallotcove::soak
