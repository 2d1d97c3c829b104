#include <shallotcove/steering/steering_engine.hpp>

#include <algorithm>
#include <utility>

#include <shallotcove/steering/config_change.hpp>
#include <shallotcove/steering/routing_config.hpp>

namespace shallotcove::steering {

namespace {

    // The servers of this data centre count as busy once one in this number of their slots is used. Reports
    // can be a second old and then show less than the actual load.
    constexpr std::uint64_t busySlotDivisor = 4;

} // namespace

void steering_engine::applyConfig(std::shared_ptr<const routing_config> config)
{
    const config_change change = differenceBetween(m_config ? *m_config : routing_config {}, *config);
    applyConfig(std::move(config), change);
}

void steering_engine::applyConfig(std::shared_ptr<const routing_config> config, const config_change& change)
{
    m_config = std::move(config);
    for (const route_address& removed : change.removedRoutes)
        m_routes.erase(removed);
    for (const std::shared_ptr<const route>& changed : change.changedRoutes)
        m_routes.insert_or_assign(changed->at, changed);
    for (const std::string& removed : change.removedServices)
        m_serviceRules.erase(removed);
    for (const service_rules& changed : change.changedServices)
        m_serviceRules.insert_or_assign(changed.name, changed);
}

void steering_engine::applyServer(const server_entry& entry, core::timestamp now)
{
    const server_record* const former = m_servers.find(tagOf(entry.id));
    if (former != nullptr && former->entry.id == entry.id && former->entry.startedAtMs != entry.startedAtMs)
        forgetEstablishedFlows(former->tag);
    if (!m_servers.apply(entry, now))
        reportSharedTag(entry, now);
    removeFlowsOfReassignedTags();
}

void steering_engine::removeServer(std::string_view serverId, bool isUncertain, core::timestamp now)
{
    m_servers.remove(serverId, isUncertain, now);
    removeFlowsOfReassignedTags();
}

void steering_engine::reportSharedTag(const server_entry& entry, core::timestamp now)
{
    steering_event event
        = eventOf(steering_event_kind::ServerWithoutTag, {}, m_servers.find(tagOf(entry.id)), now);
    event.subject = entry.id;
    addEvent(std::move(event));
}

void steering_engine::removeFlowsOfReassignedTags()
{
    for (const server_tag tag : m_servers.takeReassignedTags()) {
        std::vector<flow_address> flows;
        m_trackedFlows.forEach([&flows, tag](const flow_record& record) {
            if (record.server == tag && record.state != flow_state::Waiting
                && record.state != flow_state::Declined)
                flows.push_back(record.opening.flow);
        });
        for (const flow_address& flow : flows)
            removeFlow(flow);
    }
}

void steering_engine::setDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now)
{
    if (isOut) {
        m_dataCentresOut.insert(dataCentre);
        m_dataCentreOutSince.try_emplace(dataCentre, now);
        return;
    }
    if (m_dataCentresOut.erase(dataCentre) == 0)
        return;
    m_dataCentreOutSince.erase(dataCentre);
    // Servers that idled while their data centre was out of service are treated as cold until their entries
    // say otherwise.
    for (const auto& [tag, serverRecord] : m_servers.all()) {
        const auto rules = m_serviceRules.find(serverRecord.entry.service);
        if (serverRecord.entry.dataCentre == dataCentre && rules != m_serviceRules.end()) {
            server_record& record = *m_servers.find(tag);
            record.coldUntil = std::max(record.coldUntil, now + rules->second.coldAfterStart);
        }
    }
}

void steering_engine::applyNeighbourLoads(
    std::uint32_t hostAddress, const load_report& loads, core::timestamp now, bool isPartial)
{
    if (!isPartial) {
        m_partialReports.clear(hostAddress);
        return applyFullReport(hostAddress, loads, now);
    }
    applyFullReport(
        hostAddress, m_partialReports.add(hostAddress, loads, m_neighbourHistory.lifetime(), now), now);
}

void steering_engine::applyFullReport(
    std::uint32_t hostAddress, const load_report& loads, core::timestamp now)
{
    m_neighbourLoads.apply(hostAddress, loads, m_servers, now);
    // For other services nothing is kept, so that their messages cost no more than before.
    const bool isOfLongFlows = !m_rooms.empty()
        || std::any_of(
            loads.begin(), loads.end(), [](const server_load& load) { return load.establishedFlows > 0; });
    if (isOfLongFlows)
        m_neighbourHistory.apply(hostAddress, loads, m_servers, now);
}

void steering_engine::applyRemoteLoads(
    const std::string& dataCentre, const load_report& loads, core::timestamp now)
{
    m_remoteLoads.apply(dataCentre, loads, m_servers, now);
}

void steering_engine::setHosts(std::vector<std::uint32_t> hosts, std::uint32_t self, std::size_t neighbours)
{
    m_neighbourCount = neighbours;
    m_hostCount = hosts.size();
    m_coldAdmission.setHosts(std::move(hosts), self);
}

void steering_engine::setLoadReportInterval(core::duration interval)
{
    m_areLoadsStale = interval > m_options.firstServiceTime;
    // Tolerates the loss of one report.
    const core::duration lifetime = std::max(m_options.neighbourLoadLifetime, 2 * interval + interval / 2);
    m_neighbourLoads.setLifetime(lifetime);
    m_neighbourHistory.setLifetime(lifetime);
}

void steering_engine::clearDataCentreEvidence(const std::string& dataCentre)
{
    const auto found = m_dataCentreEvidence.find(dataCentre);
    if (found != m_dataCentreEvidence.end())
        found->second.recordAnswered();
    for (const auto& [tag, serverRecord] : m_servers.all()) {
        if (serverRecord.entry.dataCentre == dataCentre)
            m_servers.find(tag)->evidence.reset();
    }
}

void steering_engine::recordUnanswered(server_tag tag, core::timestamp now)
{
    server_record* const server = m_servers.find(tag);
    if (server == nullptr)
        return;
    if (server->evidence.recordUnanswered(now, m_options.unansweredUntilSuspect, m_options))
        addEvent(eventOf(steering_event_kind::ServerSuspected, {}, server, now));
    const std::size_t servers = m_servers.countInDataCentreOf(*server);
    if (m_dataCentreEvidence[server->entry.dataCentre].recordUnanswered(tag, servers, now, m_options)) {
        steering_event event = eventOf(steering_event_kind::DataCentreSuspected, {}, server, now);
        event.subject = server->entry.dataCentre;
        addEvent(std::move(event));
    }
}

void steering_engine::recordAnswered(server_record& server, core::timestamp now)
{
    if (server.evidence.recordAnswered())
        addEvent(eventOf(steering_event_kind::ServerTrusted, {}, &server, now));
    if (m_dataCentreEvidence[server.entry.dataCentre].recordAnswered()) {
        steering_event event = eventOf(steering_event_kind::DataCentreTrusted, {}, &server, now);
        event.subject = server.entry.dataCentre;
        addEvent(std::move(event));
    }
}

void steering_engine::countTraffic(const std::string& service, core::timestamp now)
{
    // When a second is over, the flows counted so far are reduced to a quarter, so that those from before a
    // pause lose their weight.
    service_traffic& traffic = m_traffic[service];
    if (now - traffic.windowStart >= std::chrono::seconds { 1 })
        traffic = { now, traffic.recentFlows / 4 };
    traffic.recentFlows += 1;
}

void steering_engine::recordLongFlowRequest(server_tag tag, core::timestamp now)
{
    if (const server_record* const server = m_servers.find(tag)) {
        m_lastLongFlowRequest[server->entry.service] = now;
        m_requestRates[server->entry.service].recordRequest();
    }
}

bool steering_engine::hasLongFlows(const std::string& service, core::timestamp now) const
{
    const auto last = m_lastLongFlowRequest.find(service);
    return last != m_lastLongFlowRequest.end() && now - last->second < m_options.longFlowPeriod;
}

bool steering_engine::isUnreachable(const std::string& service) const
{
    bool isAnyPermitted = false;
    for (const server_record* const server : m_servers.serversOf(service)) {
        if (server->entry.state != server_state::Ready || m_dataCentresOut.contains(server->entry.dataCentre))
            continue;
        isAnyPermitted = true;
        const auto dataCentreEvidence = m_dataCentreEvidence.find(server->entry.dataCentre);
        const bool isDataCentreSuspect
            = dataCentreEvidence != m_dataCentreEvidence.end() && dataCentreEvidence->second.isSuspect();
        if (!server->evidence.isSuspect() && !isDataCentreSuspect)
            return false;
    }
    return isAnyPermitted;
}

load_report steering_engine::takeLoads()
{
    load_report report;
    std::uint64_t localFlows = 0;
    std::uint64_t localSlots = 0;
    for (const auto& [tag, serverRecord] : m_servers.all()) {
        if (serverRecord.presence != server_presence::Left && serverRecord.entry.state == server_state::Ready
            && serverRecord.entry.dataCentre == m_options.dataCentre) {
            localFlows += serverRecord.openFlows + serverRecord.neighbourFlows;
            localSlots += serverRecord.entry.slots;
        }
        // For other services, reports contain nothing but the requests in progress.
        const server_capacity& capacity = serverRecord.capacity;
        const std::uint32_t established = capacity.isEstimated ? serverRecord.establishedFlows : 0;
        const std::uint8_t slowness = capacity.isEstimated ? slownessTenths(capacity.ownSlowness) : 0;
        if (serverRecord.openFlows > 0 || established > 0 || slowness > 0)
            report.push_back({ tag, serverRecord.openFlows, established, slowness });
        if (serverRecord.flowsSinceReport > 0)
            m_servers.find(tag)->flowsSinceReport = 0;
    }
    // Hosts whose own data centre is out of service share the servers of other data centres.
    m_isBusy = m_dataCentresOut.contains(m_options.dataCentre) || busySlotDivisor * localFlows >= localSlots;
    return report;
}

load_report steering_engine::dataCentreLoads() const
{
    load_report report;
    for (const auto& [tag, serverRecord] : m_servers.all()) {
        if (serverRecord.openFlows + serverRecord.neighbourFlows > 0)
            report.push_back({ tag, serverRecord.openFlows + serverRecord.neighbourFlows });
    }
    return report;
}

double steering_engine::unreachableShare(core::timestamp now) const
{
    double recentFlows = 0;
    double unreachable = 0;
    for (const auto& [service, traffic] : m_traffic) {
        if (now - traffic.windowStart > std::chrono::seconds { 2 })
            continue;
        recentFlows += traffic.recentFlows;
        unreachable += isUnreachable(service) ? traffic.recentFlows : 0;
    }
    return recentFlows > 0 ? unreachable / recentFlows : 0.0;
}

std::set<std::string> steering_engine::servingDataCentres() const
{
    std::set<std::string> dataCentres;
    for (const auto& [tag, record] : m_servers.all()) {
        if (record.presence != server_presence::Left && record.entry.state == server_state::Ready
            && !m_dataCentresOut.contains(record.entry.dataCentre))
            dataCentres.insert(record.entry.dataCentre);
    }
    return dataCentres;
}

} // namespace shallotcove::steering
