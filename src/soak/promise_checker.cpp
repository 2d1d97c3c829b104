#include "promise_checker.hpp"

#include <algorithm>
#include <utility>

namespace shallotcove::soak {

namespace {

    constexpr std::chrono::seconds coldWindow { 1 };

} // namespace

const char* textOf(promise kept)
{
    switch (kept) {
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

std::size_t promise_checker::checks(promise kept) const
{
    const auto found = m_checks.find(kept);
    return found == m_checks.end() ? 0 : found->second;
}

void promise_checker::report(promise broken, core::timestamp now, std::string text)
{
    m_violations.push_back({ broken, now, std::move(text) });
}

void promise_checker::recordConfig(const steering::routing_config& config, core::timestamp now)
{
    std::set<steering::route_address> present;
    for (const steering::route& route : config.routes) {
        present.insert(route.at);
        if (route.name.starts_with("probe"))
            m_probes.insert(route.at);
        for (const steering::weighted_service& target : route.targets)
            m_allowed[route.at].insert(target.service);
        if (m_routeAddedAt.try_emplace(route.at, now).second)
            m_routeRemovedAt.erase(route.at);
    }
    std::erase_if(m_routeAddedAt, [&](const auto& known) {
        if (present.contains(known.first))
            return false;
        m_routeRemovedAt[known.first] = now;
        return true;
    });
    std::erase_if(m_shownBy, [&](const auto& shown) {
        const auto added = m_routeAddedAt.find(shown.first.second);
        const auto removed = m_routeRemovedAt.find(shown.first.second);
        return (added != m_routeAddedAt.end() && added->second == now)
            || (removed != m_routeRemovedAt.end() && removed->second == now);
    });
}

void promise_checker::recordServer(const steering::server_entry& entry, core::timestamp)
{
    known_server server;
    server.service = entry.service;
    server.dataCentre = entry.dataCentre;
    m_servers[entry.id] = std::move(server);
}

void promise_checker::recordLeaving(const std::string& server, core::timestamp now)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && !found->second.leavingSince)
        found->second.leavingSince = now;
}

void promise_checker::recordServerEnd(const std::string& server)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.isAlive = false;
    std::erase_if(m_flows, [&](const auto& known) { return known.second.server == server; });
}

void promise_checker::recordDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now)
{
    if (isOut)
        m_dataCentresOut.try_emplace(dataCentre, now);
    else
        m_dataCentresOut.erase(dataCentre);
}

void promise_checker::recordCold(const std::string& server, double flowsPerSecond, core::timestamp until)
{
    known_server& known = m_servers[server];
    known.coldFlowsPerSecond = flowsPerSecond;
    known.coldUntil = until;
}

void promise_checker::beginHostTrouble(const std::string& host, core::timestamp) { ++m_hosts[host].depth; }

void promise_checker::endHostTrouble(const std::string& host, core::timestamp now)
{
    endTrouble(m_hosts[host], now);
}

void promise_checker::beginStoreTrouble(core::timestamp) { ++m_store.depth; }

void promise_checker::endStoreTrouble(core::timestamp now) { endTrouble(m_store, now); }

void promise_checker::endTrouble(trouble& ended, core::timestamp now)
{
    --ended.depth;
    ended.endedAt = now;
    ended.wasEver = true;
}

void promise_checker::recordTrafficTrouble(core::timestamp from, core::timestamp until)
{
    m_trafficTrouble.push_back({ from, until });
}

bool promise_checker::isWell(const trouble& known, core::timestamp now) const
{
    return known.depth == 0 && (!known.wasEver || now - known.endedAt >= m_bounds.stable);
}

bool promise_checker::isInTouch(const std::string& host, core::timestamp now) const
{
    const auto found = m_hosts.find(host);
    return isWell(m_store, now) && (found == m_hosts.end() || isWell(found->second, now));
}

void promise_checker::recordStart(const std::string& host)
{
    std::erase_if(m_shownBy, [&](const auto& shown) { return shown.first.first == host; });
}

void promise_checker::recordExit(const std::string& host, std::optional<core::timestamp> toldAt,
    bool wasKilled, int status, core::timestamp now)
{
    count(promise::OrderlyEnds);
    if (wasKilled)
        return;
    if (!toldAt)
        return report(
            promise::OrderlyEnds, now, host + " ended by itself with status " + std::to_string(status));
    if (status != 0)
        report(promise::OrderlyEnds, now, host + " ended with status " + std::to_string(status));
    if (now - *toldAt > m_bounds.grace)
        report(promise::OrderlyEnds, now, host + " took longer than its grace time to end");
}

void promise_checker::recordOverdueEnd(const std::string& host, core::timestamp now)
{
    count(promise::OrderlyEnds);
    report(promise::OrderlyEnds, now, host + " still runs after its grace time");
}

void promise_checker::recordOpening(const steering::flow_address& flow, const std::string& server,
    const std::string& host, core::timestamp sentAt, core::timestamp now)
{
    known_server& known = m_servers[server];
    checkRoute(flow, known, server, host, sentAt, now);
    if (isInTouch(host, now)) {
        count(promise::DrainedServersIdle);
        if (known.leavingSince && now - *known.leavingSince > m_bounds.drain)
            report(promise::DrainedServersIdle, now,
                host + " sent " + flow.toString() + " to " + server + ", which left long ago");
        count(promise::DataCentreOutIdle);
        const auto out = m_dataCentresOut.find(known.dataCentre);
        if (out != m_dataCentresOut.end() && now - out->second > m_bounds.evacuate)
            report(promise::DataCentreOutIdle, now,
                host + " sent " + flow.toString() + " into " + known.dataCentre + ", which is out");
    }
    checkColdLimit(known, server, now);
}

void promise_checker::checkRoute(const steering::flow_address& flow, const known_server& known,
    const std::string& server, const std::string& host, core::timestamp sentAt, core::timestamp now)
{
    const steering::route_address at { flow.serviceAddress, flow.servicePort };
    count(promise::RightService);
    if (!m_allowed[at].contains(known.service))
        report(promise::RightService, now,
            host + " sent " + flow.toString() + " to " + server + " of service " + known.service);
    const auto removed = m_routeRemovedAt.find(at);
    const bool isRemoved = removed != m_routeRemovedAt.end();
    if (m_probes.contains(at) && isInTouch(host, now)) {
        count(promise::ConfigInForce);
        if (isRemoved && sentAt - removed->second > m_bounds.apply)
            report(promise::ConfigInForce, now, host + " sent " + flow.toString() + " on a removed route");
    }
    if (!isRemoved) {
        m_shownBy.try_emplace({ host, at }, now);
        return;
    }
    const auto shown = m_shownBy.find({ host, at });
    count(promise::ConfigKept);
    if (shown != m_shownBy.end() && sentAt - shown->second > m_bounds.revert)
        report(promise::ConfigKept, now, host + " went back to a removed route with " + flow.toString());
}

void promise_checker::checkColdLimit(known_server& known, const std::string& server, core::timestamp now)
{
    if (known.coldFlowsPerSecond <= 0 || now >= known.coldUntil)
        return;
    known.openings.push_back(now);
    while (now - known.openings.front() > coldWindow)
        known.openings.pop_front();
    count(promise::ColdLimit);
    const double bound = known.coldFlowsPerSecond * m_bounds.coldFactor + m_bounds.coldSlack;
    if (static_cast<double>(known.openings.size()) > bound)
        report(promise::ColdLimit, now,
            server + " is cold and got " + std::to_string(known.openings.size()) + " flows in a second");
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
    open_flow& known = found->second;
    count(promise::OpenFlowsKept);
    if (known.server == server) {
        known.strayPackets.clear();
        return;
    }
    known.strayPackets.push_back(now);
    while (now - known.strayPackets.front() > m_bounds.reorder)
        known.strayPackets.pop_front();
    if (static_cast<int>(known.strayPackets.size()) == m_bounds.strayPackets)
        report(promise::OpenFlowsKept, now, flow.toString() + " of " + known.server + " goes to " + server);
}

void promise_checker::recordForeignReset(
    const steering::flow_address& flow, const std::string& server, core::timestamp now)
{
    const auto found = m_flows.find(flow);
    if (found != m_flows.end() && found->second.server != server)
        report(promise::OpenFlowsKept, now, flow.toString() + " was reset by " + server);
}

void promise_checker::recordArrival(
    bool isIntact, const std::string& server, const std::string& host, core::timestamp now)
{
    count(promise::UnchangedPackets);
    if (isIntact)
        return;
    report(promise::UnchangedPackets, now, "a packet from " + host + " arrived changed at " + server);
}

void promise_checker::recordRun(
    std::uint64_t request, const steering::flow_address& flow, bool isRepeatable, core::timestamp now)
{
    count(promise::AtMostOnce);
    if (++m_runs[request] > 1 && !isRepeatable)
        report(promise::AtMostOnce, now, "request " + std::to_string(request) + " ran twice");
    m_ran[flow] = request;
    const auto refused = m_refused.find(flow);
    if (refused != m_refused.end() && refused->second == request)
        report(promise::TruthfulRefusal, now, flow.toString() + " was refused and ran later");
}

void promise_checker::recordRefusal(const steering::flow_address& flow, std::uint64_t request,
    const std::string& host, core::timestamp sentAt, core::timestamp now)
{
    if (m_flows.contains(flow))
        return report(promise::OpenFlowsKept, now, host + " reset the open flow " + flow.toString());
    count(promise::TruthfulRefusal);
    m_refused[flow] = request;
    const auto ran = m_ran.find(flow);
    if (ran != m_ran.end() && ran->second == request)
        report(promise::TruthfulRefusal, now, host + " refused " + flow.toString() + ", which had run");
    const steering::route_address at { flow.serviceAddress, flow.servicePort };
    if (!m_probes.contains(at))
        return;
    const auto added = m_routeAddedAt.find(at);
    const bool isPresent = added != m_routeAddedAt.end();
    if (isInTouch(host, now)) {
        count(promise::ConfigInForce);
        if (isPresent && sentAt - added->second > m_bounds.apply)
            report(
                promise::ConfigInForce, now, host + " refused " + flow.toString() + ", whose route stands");
    }
    if (!isPresent) {
        m_shownBy.try_emplace({ host, at }, now);
        return;
    }
    const auto shown = m_shownBy.find({ host, at });
    count(promise::ConfigKept);
    if (shown != m_shownBy.end() && sentAt - shown->second > m_bounds.revert)
        report(promise::ConfigKept, now, host + " went back and refused " + flow.toString());
}

std::string promise_checker::serverOf(const steering::flow_address& flow) const
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? "" : found->second.server;
}

void promise_checker::recordRequest(
    const steering::flow_address& flow, core::timestamp startedAt, core::timestamp endedAt, bool isServed)
{
    m_requests.push_back({ flow, startedAt, endedAt, isServed });
}

bool promise_checker::wasDisturbed(const request_outcome& request) const
{
    return std::any_of(m_trafficTrouble.begin(), m_trafficTrouble.end(), [&](const span& known) {
        return known.from <= request.endedAt && request.startedAt - known.until < m_bounds.stable;
    });
}

void promise_checker::finish(core::timestamp now)
{
    std::size_t lost = 0;
    std::string first;
    std::size_t after = 0;
    std::size_t servedAfter = 0;
    for (const request_outcome& request : m_requests) {
        if (m_calmFrom && request.startedAt - *m_calmFrom > m_bounds.recovery) {
            ++after;
            servedAfter += request.isServed ? 1 : 0;
        }
        if (wasDisturbed(request))
            continue;
        count(promise::ServedInCalm);
        if (!request.isServed && lost++ == 0)
            first = request.flow.toString();
    }
    if (lost > 0)
        report(promise::ServedInCalm, now,
            std::to_string(lost) + " requests were not served in calm times, first " + first);
    if (after == 0)
        return;
    count(promise::Recovery);
    if (static_cast<double>(servedAfter) < m_bounds.recoveredShare * static_cast<double>(after))
        report(promise::Recovery, now,
            std::to_string(servedAfter) + " of " + std::to_string(after) + " requests served after recovery");
}

} // namespace shallotcove::soak
