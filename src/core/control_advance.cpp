#include <algorithm>

#include <xxhash.h>

#include "control_state.hpp"

namespace shallotcove::core {

namespace {

    // Urgent updates are sent to this many hosts without waiting for probes, at most once per
    // announcementInterval; each host that receives a new update does the same. With 4, nearly all hosts
    // learn of a suspicion at once; with 2, the last hosts declared a death up to 0.2 s later.
    constexpr std::size_t announcementFanout = 4;
    constexpr duration announcementInterval = std::chrono::milliseconds { 200 };
    constexpr double announcementBytes = announcementFanout * maximumPeerMessageBytes;
    constexpr duration planningInterval = std::chrono::milliseconds { 50 };

    constexpr std::size_t maximumReportReceivers = 3;

    /// Order in which the hosts of a data centre watch the store and take the planner's lease; the highest
    /// comes first.
    std::uint64_t watchRank(host_id id) { return XXH3_64bits(&id.value, sizeof id.value); }

} // namespace

control_engine_output control_engine::implementation::advance(timestamp now)
{
    detectPause(now);
    members.expire(now);
    std::erase_if(m_relays, [now](const auto& entry) { return entry.second.expires <= now; });
    sendProbes(now);
    pullConfiguration(now);
    updateConfiguration();
    if (!isPlacing())
        m_sync.advance(
            { replica.appliedIndex(), members.highestAppliedIndex(), m_prober.hasTriedContacts(members) },
            now);
    advanceLimits(now);
    sendLoadReport(now);
    advancePlanning(now);
    announce(now);
    updateSnapshot();
    m_output.shouldWatchStore = isAmongFirstInDataCentre(m_options.watchersPerDataCentre);
    m_output.shouldHoldPlannerLease = isPlacing() && members.self().state != member_state::Leaving
        && (planning.holdsLease(now) || isAmongFirstInDataCentre(1));
    return std::exchange(m_output, {});
}

void control_engine::implementation::updateConfiguration()
{
    const std::vector<std::string> changed = replica.takeChangedKeys();
    m_hasConfigurationChanged = m_hasConfigurationChanged || !changed.empty();
    for (std::string& key : m_configuration.update(replica, changed))
        m_output.unreadableKeys.push_back(std::move(key));
}

void control_engine::implementation::detectPause(timestamp now)
{
    if (m_lastAdvance && now - *m_lastAdvance > m_options.pauseThreshold) {
        const duration pause = now - *m_lastAdvance;
        members.shiftTimers(pause);
        m_prober.dropProbes();
        m_relays.clear();
        m_sync.handlePause(now);
    }
    m_lastAdvance = now;
}

void control_engine::implementation::sendProbes(timestamp now)
{
    const bool isJoining = m_sync.state() != sync_state::Synchronized;
    for (const probe_request& request : m_prober.advance(members, isJoining, now)) {
        const std::optional<socket_address> address = addressOf(request.to);
        if (!address)
            continue;
        gossip updates = gossipFor(request.to, !request.isIndirect);
        if (request.isIndirect)
            send(
                { request.to, *address }, ping_request { request.probe, request.target, std::move(updates) });
        else
            send({ request.to, *address }, ping { request.probe, std::move(updates) });
    }
}

void control_engine::implementation::announce(timestamp now)
{
    m_shouldAnnounceMembers = members.takeUrgentFlag() || m_shouldAnnounceMembers;
    m_shouldAnnounceLimits = m_limits.takeUrgentFlag() || m_shouldAnnounceLimits;
    if (now < m_nextAnnouncement)
        return;
    // The limit of a cold server changes every 2 s while it grows. Changes that exceed the budget travel with
    // probes only.
    const bool mayAnnounceLimits
        = m_shouldAnnounceLimits && m_announcementBudget.take(announcementBytes, now);
    if (!m_shouldAnnounceMembers && !mayAnnounceLimits)
        return;
    m_shouldAnnounceMembers = false;
    m_shouldAnnounceLimits = false;
    m_nextAnnouncement = now + announcementInterval;
    std::vector<host_id> receivers = members.servingMembers();
    std::shuffle(receivers.begin(), receivers.end(), m_random);
    // Hosts with a lower applied index first, because most announcements are of a new configuration.
    std::stable_partition(receivers.begin(), receivers.end(),
        [this](host_id id) { return members.find(id)->appliedIndex < replica.appliedIndex(); });
    receivers.resize(std::min(receivers.size(), announcementFanout));
    for (const host_id id : receivers)
        send({ id, members.find(id)->peerAddress }, ack { 0, members.self().id, gossipFor(id, false) });
}

void control_engine::implementation::pullConfiguration(timestamp now)
{
    if (!m_exchange.isPulling() && members.highestAppliedIndex() <= replica.appliedIndex())
        return;
    std::vector<const member*> sources = members.otherMembers();
    std::erase_if(sources, [](const member* source) { return source->state == member_state::Dead; });
    const bool waitsForWatch = isAmongFirstInDataCentre(m_options.watchersPerDataCentre);
    std::optional<addressed_message> pull = m_exchange.advance(replica, sources, waitsForWatch, now);
    if (pull)
        m_output.messages.push_back(std::move(*pull));
}

void control_engine::implementation::advanceLimits(timestamp now)
{
    if (isPlacing() && now >= m_nextLimits) {
        m_nextLimits = now + planningInterval;
        limit_policy_input input;
        input.self = members.self().id;
        input.owners = members.owners();
        for (const planner_service& service : m_configuration.services())
            input.services.push_back(service.config);
        input.limits = m_limits.limits();
        input.now = now;
        for (const server_limit& limit : policy.propose(input))
            m_limits.propose(limit, now);
    }
    m_limits.expireRestarts(now);
    const std::vector<service_id>& blocked = members.self().blockedServices;
    const bool isTruncated = blocked.size() >= maximumBlockedServices;
    m_limits.acknowledgeCleared(
        [&](service_id service) {
            return isTruncated || std::find(blocked.begin(), blocked.end(), service) != blocked.end();
        },
        now);
    m_limits.advance(members.servingMembers(), now);
    m_limits.removeUnconfigured(m_configuration.configuredServers(), now);
}

void control_engine::implementation::sendLoadReport(timestamp now)
{
    members.setPlanner(planning.holdsLease(now));
    if (!isPlacing() || !m_options.hasLoadFeedback)
        return;
    const std::optional<load_report> report = m_reporter.advance(members.servingMembers().size() + 1, now);
    if (!report)
        return;
    m_capacity.addReport(members.self().id, *report, now);
    if (members.self().isPlanner)
        return;
    for (const sender& receiver : reportReceivers())
        send(receiver, *report);
}

std::vector<control_engine::implementation::sender> control_engine::implementation::reportReceivers() const
{
    std::vector<sender> targets;
    std::map<std::string, const member*> first;
    for (const member* const other : members.otherMembers()) {
        if (other->state != member_state::Alive)
            continue;
        if (other->isPlanner)
            targets.push_back({ other->id, other->peerAddress });
        const member*& highest = first[other->dataCentre];
        if (highest == nullptr || watchRank(other->id) > watchRank(highest->id))
            highest = other;
    }
    if (targets.empty()) {
        for (const auto& [dataCentre, host] : first)
            targets.push_back({ host->id, host->peerAddress });
    }
    targets.resize(std::min(targets.size(), maximumReportReceivers));
    return targets;
}

capacity_estimator::capacity_factors control_engine::implementation::estimateCapacity(
    const std::vector<planner_service>& services, timestamp now)
{
    capacity_estimator_input input;
    for (const planner_service& service : services)
        input.services.push_back(service.config);
    for (const server_limit& limit : m_limits.limits())
        if (limit.kind != limit_kind::Clear)
            input.limitedServers.insert({ limit.service, limit.server });
    input.now = now;
    return m_capacity.update(input);
}

void control_engine::implementation::advancePlanning(timestamp now)
{
    if (now < m_nextPlanning || !planning.holdsLease(now) || !isPlacing())
        return;
    m_nextPlanning = now + planningInterval;
    planner_input input;
    input.services = m_configuration.services();
    input.dataCentresOut = m_configuration.dataCentresOut();
    input.limitedServers = m_limits.limitedServers();
    if (m_options.hasLoadFeedback)
        input.capacityFactors = estimateCapacity(input.services, now);
    addHostProgress(input, members, now);
    for (store_write& write : planning.advance(std::move(input), replica, now))
        m_output.writes.push_back(std::move(write));
}

bool control_engine::implementation::isPlacing() const
{
    return m_sync.state() == sync_state::Synchronized || m_sync.state() == sync_state::Isolated;
}

bool control_engine::implementation::isAmongFirstInDataCentre(std::uint32_t count) const
{
    return members.self().state != member_state::Leaving && m_rankInDataCentre < count;
}

void control_engine::implementation::updateRankInDataCentre()
{
    const member& self = members.self();
    m_rankInDataCentre = 0;
    for (const member* const other : members.otherMembers())
        if (other->state == member_state::Alive && other->dataCentre == self.dataCentre
            && watchRank(other->id) > watchRank(self.id))
            m_rankInDataCentre += 1;
}

void control_engine::implementation::updateSnapshot()
{
    const bool haveMembersChanged = members.takeChanged();
    if (haveMembersChanged)
        updateRankInDataCentre();
    const bool haveLimitsChanged = m_limits.takeChanged();
    const bool isSame = m_hasSnapshot && !haveMembersChanged && !haveLimitsChanged
        && m_snapshotSync == m_sync.state() && m_snapshotIndex == replica.appliedIndex()
        && !m_hasConfigurationChanged;
    if (isSame)
        return;
    routing_snapshot snapshot = m_configuration.build();
    snapshot.appliedIndex = replica.appliedIndex();
    snapshot.sync = m_sync.state();
    snapshot.self = members.self().id;
    snapshot.flowHashSeed = m_options.flowHashSeed;
    snapshot.owners = members.owners();
    const std::size_t hosts = std::max(snapshot.owners.size(), members.listed().size());
    snapshot.admissionHosts = static_cast<std::uint32_t>(std::max<std::size_t>(1, hosts));
    snapshot.limits = m_limits.effectiveLimits();
    m_hasSnapshot = true;
    m_hasConfigurationChanged = false;
    m_snapshotSync = snapshot.sync;
    m_snapshotIndex = snapshot.appliedIndex;
    m_output.snapshot = std::make_shared<const routing_snapshot>(std::move(snapshot));
}

} // namespace shallotcove::core
