#include "flow_scan.hpp"

#include <algorithm>
#include <array>

namespace shallotcove::core {

namespace {

    /// Slots scanned per second. A table of default size takes 6 s at about 1% of a core.
    constexpr double slotsPerSecond = 100'000;
    /// Slots scanned per second while flows have to be sent to new owners or before an epoch becomes active.
    constexpr double urgentSlotsPerSecond = 1'000'000;
    /// A flow that had a packet within this window counts as active. Flows send a packet every few seconds,
    /// spread over the hosts.
    constexpr duration activeWindow = std::chrono::seconds { 10 };
    constexpr duration maximumStep = std::chrono::milliseconds { 100 };

    using host_pair = std::array<host_id, 2>;

    /// The owner and the backup of a flow; host id 0 if there is none.
    host_pair ownerAndBackupOf(const flow_hash& flow, const std::vector<host_id>& hosts)
    {
        const host_ranks ranks = rankHosts(flow, hosts);
        return { ranks.owner ? hosts[*ranks.owner] : host_id {},
            ranks.backup ? hosts[*ranks.backup] : host_id {} };
    }

    /// Sends the flow to the targets other than this host and the hosts in alreadySent. Returns false and
    /// sends nothing if the byte budget does not allow it.
    bool sendTo(const host_pair& targets, const host_pair& alreadySent, host_id self, const flow_entry& entry,
        track_sender& sender, timestamp now)
    {
        host_pair receivers;
        std::size_t count {};
        for (const host_id host : targets) {
            const bool hasFlow = std::find(alreadySent.begin(), alreadySent.end(), host) != alreadySent.end();
            if (host != host_id {} && host != self && !hasFlow)
                receivers[count++] = host;
        }
        if (!sender.canQueueFlow(count, now))
            return false;
        for (std::size_t index = 0; index < count; ++index)
            sender.queueFlow(receivers[index], { entry.flow, entry.service, entry.server }, now);
        return true;
    }

    void countActive(const flow_entry& entry, flow_records& records)
    {
        if (server_counters* const counters = records.counters().findServer(entry.service, entry.server))
            ++counters->activeFlowsInScan;
    }

    /// Whether the data centre of the flow's server is out, which ends the flow. Its entry is erased, so that
    /// a later flow with the same address pair is placed anew after the data centre has returned.
    bool isServerDataCentreOut(const flow_entry& entry, service_view* service)
    {
        const server_view* const server = service == nullptr ? nullptr : service->findServer(entry.server);
        return server != nullptr && server->isDataCentreOut;
    }

    bool hasPreparedDatagramService(const routing_view& view)
    {
        return std::any_of(
            view.services().begin(), view.services().end(), [](const std::unique_ptr<service_view>& service) {
                return service->isDatagram() && service->hasPreparedEpoch();
            });
    }

} // namespace

flow_scan::flow_scan(const packet_engine_options& options)
    : m_idleTimeout(options.idleTimeout)
{
}

void flow_scan::applyView(routing_view& view, timestamp now)
{
    if (!m_hasSyncedHosts) {
        m_syncedHosts = view.hosts();
        m_roundHosts = view.hosts();
        m_hasSyncedHosts = true;
        m_nextRefresh = now + m_idleTimeout / 3;
    }
    const bool hasNewOwners = view.hosts() != m_roundHosts;
    const bool hasNewPreparedEpoch
        = hasPreparedDatagramService(view) && view.snapshot().appliedIndex > m_lastAppliedIndex;
    m_lastAppliedIndex = view.snapshot().appliedIndex;
    if (hasNewOwners || hasNewPreparedEpoch)
        beginRound(view, now);
}

void flow_scan::beginRound(routing_view& view, timestamp now)
{
    m_isInRound = true;
    m_slot = 0;
    m_roundIndex = view.snapshot().appliedIndex;
    m_roundBlockedServices.clear();
    m_roundHosts = view.hosts();
    m_isUrgentRound = m_roundHosts != m_syncedHosts || hasPreparedDatagramService(view);
    // A refresh that is interrupted by a new round starts over.
    m_isRefreshRound = m_isRefreshRound || now >= m_nextRefresh;
}

void flow_scan::endRound(routing_view& view, flow_records& records, timestamp now)
{
    records.counters().endActiveScan();
    m_isInRound = false;
    m_syncedHosts = m_roundHosts;
    if (m_isRefreshRound) {
        m_isRefreshRound = false;
        m_nextRefresh = now + m_idleTimeout / 3;
    }
    m_preparedScanIndex = m_roundIndex;
    for (const std::unique_ptr<service_view>& service : view.services()) {
        if (service->canBeAmbiguous() && records.mayHaveUnrecorded(service->id(), now))
            m_roundBlockedServices.insert(service->id());
    }
    if (m_roundBlockedServices.size() > maximumBlockedServices)
        return;
    m_retirementScanIndex = m_roundIndex;
    m_blockedServices.assign(m_roundBlockedServices.begin(), m_roundBlockedServices.end());
}

std::size_t flow_scan::slotsFor(duration elapsed) const
{
    const double seconds = std::chrono::duration<double> { std::min(elapsed, maximumStep) }.count();
    return static_cast<std::size_t>(seconds * (m_isUrgentRound ? urgentSlotsPerSecond : slotsPerSecond));
}

void flow_scan::advance(routing_view& view, flow_records& records, track_sender& sender, timestamp now)
{
    const duration elapsed = now - m_lastAdvance;
    m_lastAdvance = now;
    if (!m_isInRound)
        beginRound(view, now);
    const std::size_t slots = records.local().capacity() + records.tracked().capacity();
    if (m_slot == 0)
        records.counters().beginActiveScan();
    const std::size_t last = std::min(slots, m_slot + slotsFor(elapsed));
    while (m_slot < last && visitSlot(m_slot, view, records, sender, now))
        ++m_slot;
    if (m_slot == slots)
        endRound(view, records, now);
}

bool flow_scan::visitSlot(
    std::size_t slot, routing_view& view, flow_records& records, track_sender& sender, timestamp now)
{
    const std::size_t localSlots = records.local().capacity();
    const bool isLocal = slot < localSlots;
    flow_table& table = isLocal ? records.local() : records.tracked();
    flow_entry* const entry = table.at(isLocal ? slot : slot - localSlots);
    if (entry == nullptr)
        return true;
    service_view* const service = view.findService(entry->service);
    if (table.isIdle(*entry, now) || isServerDataCentreOut(*entry, service)) {
        isLocal ? records.eraseLocal(*entry) : table.erase(*entry);
        return true;
    }
    flow_choice choice;
    if (service != nullptr && service->canBeAmbiguous())
        choice = service->choose(entry->flow);
    const bool isSent = isLocal ? sendLocal(*entry, service, choice, view, sender, now)
                                : sendTracked(*entry, view, sender, now);
    if (isSent && isLocal && toTicks(now) - entry->lastSeen < toTicks(activeWindow))
        countActive(*entry, records);
    if (isSent && service != nullptr && service->canBeAmbiguous())
        recordIfBlocking(*entry, *service, choice);
    return isSent;
}

bool flow_scan::sendLocal(flow_entry& entry, service_view* service, const flow_choice& choice,
    routing_view& view, track_sender& sender, timestamp now)
{
    const bool needsTracking
        = service != nullptr && service->isDatagram() && choice.isAmbiguous && !entry.has(flow_flag::Tracked);
    const bool isRefreshed = m_isRefreshRound && entry.has(flow_flag::Tracked)
        && toTicks(now) - entry.lastSeen < toTicks(m_idleTimeout / 3);
    const bool hasNewOwner = m_roundHosts != m_syncedHosts && entry.has(flow_flag::Tracked);
    if (!needsTracking && !isRefreshed && !hasNewOwner)
        return true;
    const host_pair targets = ownerAndBackupOf(entry.flow, m_roundHosts);
    const host_pair alreadySent
        = needsTracking || isRefreshed ? host_pair {} : ownerAndBackupOf(entry.flow, m_syncedHosts);
    if (!sendTo(targets, alreadySent, view.snapshot().self, entry, sender, now))
        return false;
    entry.set(flow_flag::Tracked);
    return true;
}

bool flow_scan::sendTracked(flow_entry& entry, routing_view& view, track_sender& sender, timestamp now)
{
    if (m_roundHosts == m_syncedHosts)
        return true;
    return sendTo(ownerAndBackupOf(entry.flow, m_roundHosts), ownerAndBackupOf(entry.flow, m_syncedHosts),
        view.snapshot().self, entry, sender, now);
}

void flow_scan::recordIfBlocking(const flow_entry& entry, service_view& service, const flow_choice& choice)
{
    const server_view* const server = service.findServer(entry.server);
    const bool isRemovedOrOut
        = server == nullptr || server->state == server_state::Removed || server->isDataCentreOut;
    if (!isRemovedOrOut && server != choice.active)
        m_roundBlockedServices.insert(entry.service);
}

void flow_scan::report(packet_engine_output& output) const
{
    output.retirementScanIndex = m_retirementScanIndex;
    output.preparedScanIndex = m_preparedScanIndex;
    output.blockedServices = m_blockedServices;
}

} // namespace shallotcove::core
