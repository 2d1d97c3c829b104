// Predicates for the invariants about configuration changes and load.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>

#include "oracle_exceptions.hpp"
#include "oracle_predicates.hpp"

namespace shallotcove::testbench {

namespace {

    struct cold_start {
        core::timestamp coldSince;
        double initialRate {};
        /// New flows in the server's queue.
        double queuedFlows {};
        core::timestamp updated;
    };

    /// The rate of new flows that a cold server can handle grows by this factor every 2 s.
    constexpr double warmingFactor = 1.5;

    double secondsBetween(core::timestamp from, core::timestamp to)
    {
        return std::chrono::duration<double>(to - from).count();
    }

    std::uint32_t subjectOf(const accepted_change& change)
    {
        return change.service == 0 ? change.dataCentre : change.service;
    }

    /// Whether a host was down, paused or leaving at any time in [from, to].
    bool wasUnavailable(
        const run_history& history, std::uint32_t host, core::timestamp from, core::timestamp to)
    {
        bool isDown {};
        for (const disturbance& item : history.disturbances) {
            if (item.target != host || item.from > to)
                continue;
            const bool isDeparture
                = item.kind == disturbance_kind::HostLost || item.kind == disturbance_kind::HostLeft;
            if (isDeparture || (item.kind == disturbance_kind::HostStarted && item.from < from))
                isDown = isDeparture;
            if (item.kind == disturbance_kind::HostPaused && item.to >= from)
                return true;
        }
        return isDown;
    }

} // namespace

/// I3. The queue of a cold server never overflows. The server handles new flows at its cold rate, which grows
/// by a factor of 1.5 every 2 s, and queues as many as it handles in one second. A server is cold when it is
/// added and when its data centre returns. No exceptions.
violation checkColdServersAreNotOverloaded(const run_history& history)
{
    std::map<std::pair<std::uint32_t, std::uint32_t>, cold_start> servers;
    std::set<std::uint32_t> countedFlows;
    auto change = history.accepted.begin();
    for (const forwarded_packet& packet : history.forwarded) {
        for (; change != history.accepted.end() && change->at <= packet.at; ++change) {
            if (change->kind == accepted_kind::ServerAdded && change->at > history.begin)
                servers[{ change->service, change->server }]
                    = { change->at, double(change->coldNewFlowsPerSecond), 0, change->at };
            for (const accepted_change& added : history.accepted)
                if (change->kind == accepted_kind::DataCentreIn && added.at <= change->at
                    && added.kind == accepted_kind::ServerAdded && added.dataCentre == change->dataCentre)
                    servers[{ added.service, added.server }]
                        = { change->at, double(added.coldNewFlowsPerSecond), 0, change->at };
        }
        const auto found = servers.find({ packet.service, packet.server });
        if (packet.number != 0 || found == servers.end() || !countedFlows.insert(packet.flow).second)
            continue;
        cold_start& server = found->second;
        const double capacity = server.initialRate
            * std::pow(warmingFactor, std::floor(secondsBetween(server.coldSince, packet.at) / 2));
        server.queuedFlows
            = std::max(0.0, server.queuedFlows - capacity * secondsBetween(server.updated, packet.at)) + 1;
        server.updated = packet.at;
        if (server.queuedFlows > capacity)
            return "server " + std::to_string(packet.server) + " of service " + std::to_string(packet.service)
                + ", cold since " + formatSeconds(server.coldSince) + ", got more new flows than "
                + std::to_string(capacity) + " a second at " + formatSeconds(packet.at);
    }
    return {};
}

/// I4. From 3 s after a data centre was taken out until it returns, no host sends a packet into it.
/// Exception: a host that could not learn of the change because of a partition, a store fault, message loss
/// or its own pause, until the recovery time after that has passed.
violation checkNoPacketToDataCentreOut(const run_history& history)
{
    for (const accepted_change& change : history.accepted) {
        if (change.kind != accepted_kind::DataCentreOut)
            continue;
        const auto returned = std::find_if(
            history.accepted.begin(), history.accepted.end(), [&](const accepted_change& later) {
                return later.kind == accepted_kind::DataCentreIn && later.dataCentre == change.dataCentre
                    && later.at >= change.at;
            });
        const core::timestamp end = returned == history.accepted.end() ? history.end : returned->at;
        for (const forwarded_packet& packet : history.forwarded) {
            if (packet.at <= change.at + outBound || packet.at > end)
                continue;
            if (dataCentreOf(history, packet.service, packet.server) == change.dataCentre
                && !isDisturbed(history, packet.at - changeBound, packet.at))
                return "host " + std::to_string(packet.host) + " sent a packet into data centre "
                    + std::to_string(change.dataCentre) + " at " + formatSeconds(packet.at) + ", out since "
                    + formatSeconds(change.at);
        }
    }
    return {};
}

/// I8. From 5 s after a drain of a server was accepted until it is undrained, no new flow is sent to it.
/// Exceptions: the recovery time after a fault, which delays the planner, and retransmitted first packets of
/// flows opened earlier.
violation checkDrainingServersGetNoNewFlows(const run_history& history)
{
    std::map<std::pair<std::uint32_t, std::uint32_t>, core::timestamp> draining;
    auto change = history.accepted.begin();
    for (const forwarded_packet& packet : history.forwarded) {
        for (; change != history.accepted.end() && change->at <= packet.at; ++change) {
            if (change->kind == accepted_kind::ServerDrained)
                draining[{ change->service, change->server }] = change->at;
            if (change->kind == accepted_kind::ServerUndrained)
                draining.erase({ change->service, change->server });
        }
        const auto found = draining.find({ packet.service, packet.server });
        if (packet.number != 0 || found == draining.end())
            continue;
        const core::timestamp opened = history.flows[packet.flow].opened;
        if (opened > found->second + changeBound && !isDisturbed(history, opened - changeBound, opened))
            return "host " + std::to_string(packet.host) + " sent the new flow " + std::to_string(packet.flow)
                + " to server " + std::to_string(packet.server) + " of service "
                + std::to_string(packet.service) + " at " + formatSeconds(packet.at) + ", which drains since "
                + formatSeconds(found->second);
    }
    return {};
}

/// I10. The revision of a service or data centre that a host applies never decreases between the start and
/// the stop of the host, and every running host applies an accepted revision within 5 s. No operation id is
/// accepted as a change twice. Exception for the limit of 5 s: the recovery time after a fault.
violation checkConfigurationIsApplied(const run_history& history)
{
    std::map<std::tuple<std::uint32_t, std::uint32_t, bool, std::uint32_t>, std::uint64_t> highestRevisions;
    for (const applied_config& item : history.appliedConfigs) {
        std::uint64_t& revision
            = highestRevisions[{ item.host, item.startCount, item.isDataCentre, item.subject }];
        if (item.revision < revision)
            return "host " + std::to_string(item.host) + " went back from revision "
                + std::to_string(revision) + " to " + std::to_string(item.revision) + " at "
                + formatSeconds(item.at);
        revision = item.revision;
    }
    std::set<std::string> operations;
    for (const accepted_change& change : history.accepted)
        if (!operations.insert(change.operation).second)
            return "operation " + change.operation + " was accepted again at " + formatSeconds(change.at);
    for (const accepted_change& change : history.accepted) {
        const core::timestamp deadline = change.at + changeBound;
        if (deadline > history.end || isDisturbed(history, change.at, deadline))
            continue;
        for (std::uint32_t host = 0; host < history.hosts; ++host) {
            if (wasUnavailable(history, host, change.at, deadline))
                continue;
            const bool isApplied = std::any_of(history.appliedConfigs.begin(), history.appliedConfigs.end(),
                [&](const applied_config& item) {
                    return item.host == host && item.at <= deadline
                        && item.isDataCentre == (change.service == 0) && item.subject == subjectOf(change)
                        && item.revision >= change.revision;
                });
            if (!isApplied)
                return "host " + std::to_string(host) + " lacks the change accepted at "
                    + formatSeconds(change.at) + " at " + formatSeconds(deadline);
        }
    }
    return {};
}

} // namespace shallotcove::testbench
