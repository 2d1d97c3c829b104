#include "promise_checker.hpp"

#include <algorithm>
#include <utility>

namespace shallotcove::soak {

namespace {

    constexpr std::chrono::seconds coldWindow { 1 };

} // namespace

const char* textOf(promise checked)
{
    switch (checked) {
    case promise::RightService:
        return "right service";
    case promise::AtMostOnce:
        return "at most once";
    case promise::TruthfulRefusal:
        return "truthful refusal";
    case promise::OpenFlowsKept:
        return "open flows kept";
    case promise::UnchangedPackets:
        return "unchanged packets";
    case promise::DrainedServersIdle:
        return "drained servers idle";
    case promise::DataCentreOutIdle:
        return "data centre out idle";
    case promise::ConfigInForce:
        return "configuration in force";
    case promise::ConfigKept:
        return "configuration kept";
    case promise::ColdLimit:
        return "cold limit";
    case promise::OrderlyEnds:
        return "orderly ends";
    case promise::ServedInCalm:
        return "served in calm";
    case promise::Recovery:
        return "recovery";
    }
    return "unknown";
}

promise_checker::promise_checker(const soak_bounds& bounds)
    : m_bounds(bounds)
{
}

std::size_t promise_checker::checkCount(promise checked) const
{
    const auto found = m_checks.find(checked);
    return found == m_checks.end() ? 0 : found->second;
}

void promise_checker::reportViolation(promise broken, core::timestamp now, std::string text)
{
    m_violations.push_back({ broken, now, std::move(text) });
}

void promise_checker::recordConfig(const steering::routing_config& config, core::timestamp now)
{
    std::set<steering::route_address> configuredRoutes;
    for (const std::shared_ptr<const steering::route>& shared : config.routes) {
        const steering::route& route = *shared;
        configuredRoutes.insert(route.at);
        if (route.name.starts_with("probe"))
            m_probeRoutes.insert(route.at);
        for (const steering::weighted_service& target : route.targets)
            m_allowedServices[route.at].insert(target.service);
        if (m_routeAddedAt.try_emplace(route.at, now).second)
            m_routeRemovedAt.erase(route.at);
    }
    std::erase_if(m_routeAddedAt, [&](const auto& entry) {
        if (configuredRoutes.contains(entry.first))
            return false;
        m_routeRemovedAt[entry.first] = now;
        return true;
    });
    std::erase_if(m_routeStateSeenAt, [&](const auto& seen) {
        const auto added = m_routeAddedAt.find(seen.first.second);
        const auto removed = m_routeRemovedAt.find(seen.first.second);
        return (added != m_routeAddedAt.end() && added->second == now)
            || (removed != m_routeRemovedAt.end() && removed->second == now);
    });
}

void promise_checker::recordServer(const steering::server_entry& entry, core::timestamp)
{
    tracked_server server;
    server.service = entry.service;
    server.dataCentre = entry.dataCentre;
    m_servers[entry.id] = std::move(server);
}

void promise_checker::recordServerLeaving(const std::string& server, core::timestamp now)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && !found->second.leavingSince)
        found->second.leavingSince = now;
}

void promise_checker::recordServerEnd(const std::string& server)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.isRunning = false;
    std::erase_if(m_flows, [&](const auto& entry) { return entry.second.server == server; });
}

void promise_checker::recordDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now)
{
    if (isOut)
        m_dataCentresOut.try_emplace(dataCentre, now);
    else
        m_dataCentresOut.erase(dataCentre);
}

void promise_checker::recordColdServer(
    const std::string& server, double flowsPerSecond, core::timestamp until)
{
    tracked_server& tracked = m_servers[server];
    tracked.coldFlowsPerSecond = flowsPerSecond;
    tracked.coldUntil = until;
}

void promise_checker::beginHostDisturbance(const std::string& host, core::timestamp)
{
    ++m_hosts[host].depth;
}

void promise_checker::endHostDisturbance(const std::string& host, core::timestamp now)
{
    endDisturbance(m_hosts[host], now);
}

void promise_checker::beginStoreDisturbance(core::timestamp) { ++m_store.depth; }

void promise_checker::endStoreDisturbance(core::timestamp now) { endDisturbance(m_store, now); }

void promise_checker::endDisturbance(disturbance& state, core::timestamp now)
{
    --state.depth;
    state.endedAt = now;
    state.hasOccurred = true;
}

void promise_checker::recordTrafficDisturbance(core::timestamp from, core::timestamp until)
{
    m_trafficDisturbances.push_back({ from, until });
}

bool promise_checker::isSettled(const disturbance& state, core::timestamp now) const
{
    return state.depth == 0 && (!state.hasOccurred || now - state.endedAt >= m_bounds.settleTime);
}

bool promise_checker::isHostSettled(const std::string& host, core::timestamp now) const
{
    const auto found = m_hosts.find(host);
    return isSettled(m_store, now) && (found == m_hosts.end() || isSettled(found->second, now));
}

void promise_checker::recordHostStart(const std::string& host)
{
    std::erase_if(m_routeStateSeenAt, [&](const auto& seen) { return seen.first.first == host; });
}

void promise_checker::recordHostExit(const std::string& host,
    std::optional<core::timestamp> terminationRequestedAt, bool wasKilled, int status, core::timestamp now)
{
    countCheck(promise::OrderlyEnds);
    if (wasKilled)
        return;
    if (!terminationRequestedAt)
        return reportViolation(
            promise::OrderlyEnds, now, host + " ended by itself with status " + std::to_string(status));
    if (status != 0)
        reportViolation(promise::OrderlyEnds, now, host + " ended with status " + std::to_string(status));
    if (now - *terminationRequestedAt > m_bounds.gracePeriod)
        reportViolation(promise::OrderlyEnds, now, host + " took longer than its grace time to end");
}

void promise_checker::recordOverdueShutdown(const std::string& host, core::timestamp now)
{
    countCheck(promise::OrderlyEnds);
    reportViolation(promise::OrderlyEnds, now, host + " still runs after its grace time");
}

void promise_checker::recordOpeningPacket(const steering::flow_address& flow, const std::string& server,
    const std::string& host, core::timestamp sentAt, core::timestamp now)
{
    tracked_server& tracked = m_servers[server];
    checkRoute(flow, tracked, server, host, sentAt, now);
    if (isHostSettled(host, now)) {
        countCheck(promise::DrainedServersIdle);
        if (tracked.leavingSince && now - *tracked.leavingSince > m_bounds.drainTime)
            reportViolation(promise::DrainedServersIdle, now,
                host + " sent " + flow.toString() + " to " + server + ", which left long ago");
        countCheck(promise::DataCentreOutIdle);
        const auto out = m_dataCentresOut.find(tracked.dataCentre);
        if (out != m_dataCentresOut.end() && now - out->second > m_bounds.evacuationTime)
            reportViolation(promise::DataCentreOutIdle, now,
                host + " sent " + flow.toString() + " into " + tracked.dataCentre + ", which is out");
    }
    checkColdLimit(tracked, server, now);
}

void promise_checker::checkRoute(const steering::flow_address& flow, const tracked_server& tracked,
    const std::string& server, const std::string& host, core::timestamp sentAt, core::timestamp now)
{
    const steering::route_address at { flow.serviceAddress, flow.servicePort };
    countCheck(promise::RightService);
    if (!m_allowedServices[at].contains(tracked.service))
        reportViolation(promise::RightService, now,
            host + " sent " + flow.toString() + " to " + server + " of service " + tracked.service);
    const auto removed = m_routeRemovedAt.find(at);
    const bool isRemoved = removed != m_routeRemovedAt.end();
    if (m_probeRoutes.contains(at) && isHostSettled(host, now)) {
        countCheck(promise::ConfigInForce);
        if (isRemoved && sentAt - removed->second > m_bounds.applyTime)
            reportViolation(
                promise::ConfigInForce, now, host + " sent " + flow.toString() + " on a removed route");
    }
    if (!isRemoved) {
        m_routeStateSeenAt.try_emplace({ host, at }, now);
        return;
    }
    const auto seen = m_routeStateSeenAt.find({ host, at });
    countCheck(promise::ConfigKept);
    if (seen != m_routeStateSeenAt.end() && sentAt - seen->second > m_bounds.staleConfigTime)
        reportViolation(
            promise::ConfigKept, now, host + " went back to a removed route with " + flow.toString());
}

void promise_checker::checkColdLimit(tracked_server& tracked, const std::string& server, core::timestamp now)
{
    if (tracked.coldFlowsPerSecond <= 0 || now >= tracked.coldUntil)
        return;
    tracked.openingTimes.push_back(now);
    while (now - tracked.openingTimes.front() > coldWindow)
        tracked.openingTimes.pop_front();
    countCheck(promise::ColdLimit);
    const double bound = tracked.coldFlowsPerSecond * m_bounds.coldFactor + m_bounds.coldSlack;
    if (static_cast<double>(tracked.openingTimes.size()) > bound)
        reportViolation(promise::ColdLimit, now,
            server + " is cold and got " + std::to_string(tracked.openingTimes.size())
                + " flows in a second");
}

void promise_checker::recordFlowOpen(const steering::flow_address& flow, const std::string& server)
{
    m_flows[flow] = { server, {}, {} };
}

void promise_checker::recordFlowEnd(const steering::flow_address& flow) { m_flows.erase(flow); }

void promise_checker::recordPacket(
    const steering::flow_address& flow, const std::string& server, core::timestamp now)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    open_flow& tracked = found->second;
    countCheck(promise::OpenFlowsKept);
    if (tracked.server == server) {
        tracked.misroutedPackets.clear();
        return;
    }
    tracked.misroutedPackets.push_back(now);
    while (now - tracked.misroutedPackets.front() > m_bounds.reorderWindow)
        tracked.misroutedPackets.pop_front();
    if (static_cast<int>(tracked.misroutedPackets.size()) == m_bounds.misroutedPackets)
        reportViolation(
            promise::OpenFlowsKept, now, flow.toString() + " of " + tracked.server + " goes to " + server);
}

void promise_checker::recordUnknownFlowReset(
    const steering::flow_address& flow, const std::string& server, core::timestamp now)
{
    const auto found = m_flows.find(flow);
    if (found != m_flows.end() && found->second.server != server)
        reportViolation(promise::OpenFlowsKept, now, flow.toString() + " was reset by " + server);
}

void promise_checker::recordDatagramArrival(
    bool isIntact, const std::string& server, const std::string& host, core::timestamp now)
{
    countCheck(promise::UnchangedPackets);
    if (isIntact)
        return;
    reportViolation(
        promise::UnchangedPackets, now, "a packet from " + host + " arrived changed at " + server);
}

void promise_checker::recordRequestRun(
    std::uint64_t request, const steering::flow_address& flow, bool isIdempotent, core::timestamp now)
{
    countCheck(promise::AtMostOnce);
    if (++m_runCounts[request] > 1 && !isIdempotent)
        reportViolation(promise::AtMostOnce, now, "request " + std::to_string(request) + " ran twice");
    m_lastRun[flow] = request;
    const auto refused = m_lastRefused.find(flow);
    if (refused != m_lastRefused.end() && refused->second == request)
        reportViolation(promise::TruthfulRefusal, now, flow.toString() + " was refused and ran later");
}

void promise_checker::recordRefusal(const steering::flow_address& flow, std::uint64_t request,
    const std::string& host, core::timestamp sentAt, core::timestamp now)
{
    if (m_flows.contains(flow))
        return reportViolation(promise::OpenFlowsKept, now, host + " reset the open flow " + flow.toString());
    countCheck(promise::TruthfulRefusal);
    m_lastRefused[flow] = request;
    const auto ran = m_lastRun.find(flow);
    if (ran != m_lastRun.end() && ran->second == request)
        reportViolation(
            promise::TruthfulRefusal, now, host + " refused " + flow.toString() + ", which had run");
    const steering::route_address at { flow.serviceAddress, flow.servicePort };
    if (!m_probeRoutes.contains(at))
        return;
    const auto added = m_routeAddedAt.find(at);
    const bool isPresent = added != m_routeAddedAt.end();
    if (isHostSettled(host, now)) {
        countCheck(promise::ConfigInForce);
        if (isPresent && sentAt - added->second > m_bounds.applyTime)
            reportViolation(
                promise::ConfigInForce, now, host + " refused " + flow.toString() + ", whose route stands");
    }
    if (!isPresent) {
        m_routeStateSeenAt.try_emplace({ host, at }, now);
        return;
    }
    const auto seen = m_routeStateSeenAt.find({ host, at });
    countCheck(promise::ConfigKept);
    if (seen != m_routeStateSeenAt.end() && sentAt - seen->second > m_bounds.staleConfigTime)
        reportViolation(promise::ConfigKept, now, host + " went back and refused " + flow.toString());
}

std::string promise_checker::serverOf(const steering::flow_address& flow) const
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? "" : found->second.server;
}

void promise_checker::recordRequestOutcome(
    const steering::flow_address& flow, core::timestamp startedAt, core::timestamp endedAt, bool isServed)
{
    m_requests.push_back({ flow, startedAt, endedAt, isServed });
}

bool promise_checker::wasDisturbed(const request_outcome& request) const
{
    return std::any_of(
        m_trafficDisturbances.begin(), m_trafficDisturbances.end(), [&](const span& disturbed) {
            return disturbed.from <= request.endedAt
                && request.startedAt - disturbed.until < m_bounds.settleTime;
        });
}

void promise_checker::finish(core::timestamp now)
{
    std::size_t lost = 0;
    std::string firstLost;
    std::size_t requestsAfterRecovery = 0;
    std::size_t servedAfterRecovery = 0;
    for (const request_outcome& request : m_requests) {
        if (m_faultsEndedAt && request.startedAt - *m_faultsEndedAt > m_bounds.recoveryTime) {
            ++requestsAfterRecovery;
            servedAfterRecovery += request.isServed ? 1 : 0;
        }
        if (wasDisturbed(request))
            continue;
        countCheck(promise::ServedInCalm);
        if (!request.isServed && lost++ == 0)
            firstLost = request.flow.toString();
    }
    if (lost > 0)
        reportViolation(promise::ServedInCalm, now,
            std::to_string(lost) + " requests were not served in calm times, first " + firstLost);
    if (requestsAfterRecovery == 0)
        return;
    countCheck(promise::Recovery);
    if (static_cast<double>(servedAfterRecovery)
        < m_bounds.recoveredShare * static_cast<double>(requestsAfterRecovery))
        reportViolation(promise::Recovery, now,
            std::to_string(servedAfterRecovery) + " of " + std::to_string(requestsAfterRecovery)
                + " requests served after recovery");
}

} // namespace shallotcove::soak
