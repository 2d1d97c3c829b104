#include "fleet_reporter.hpp"

#include <algorithm>

#include "enum_names.hpp"

namespace shallotcove::daemon {

namespace {

    constexpr core::duration refreshPeriod = std::chrono::seconds { 1 };
    // Limits the rate of log lines, so that a flood of bad input does not flood the log.
    constexpr core::duration summaryPeriod = std::chrono::seconds { 10 };

    template <typename Enumerator, typename Counters, typename Visitor>
    void forEachCounter(const Counters& counters, Visitor visit)
    {
        for (std::size_t i = 0; i < counters.size(); ++i)
            visit(nameOf(static_cast<Enumerator>(i)), counters[i]);
    }

    template <typename Visitor> void forEachRing(const channels& shared, Visitor visit)
    {
        visit("toPackets", shared.toPackets);
        visit("fromPackets", shared.fromPackets);
        visit("toPlatform", shared.toPlatform);
        visit("fromPlatform", shared.fromPlatform);
        visit("queries", shared.queries);
        visit("storeTasks", shared.storeTasks);
    }

    std::vector<std::pair<std::string, std::uint64_t>> inputFaults(const packet_counters& packets)
    {
        std::vector<std::pair<std::string, std::uint64_t>> faults { { "Truncated",
            packets.truncated.value() } };
        forEachCounter<wire::packet_error>(
            packets.malformedPackets, [&](const std::string& name, const relaxed_counter& counter) {
                faults.emplace_back("Malformed" + name, counter.value());
            });
        forEachCounter<wire::redirect_error>(
            packets.malformedRedirects, [&](const std::string& name, const relaxed_counter& counter) {
                faults.emplace_back("MalformedRedirect" + name, counter.value());
            });
        return faults;
    }

} // namespace

fleet_reporter::fleet_reporter(event_log& log, metrics& metrics, channels& shared)
    : m_log(log)
    , m_metrics(metrics)
    , m_channels(shared)
{
}

void fleet_reporter::handleSnapshot(
    const core::control_engine& engine, std::shared_ptr<const core::routing_snapshot> snapshot)
{
    const core::sync_state syncBefore = m_snapshot ? m_snapshot->sync : core::sync_state::Starting;
    const core::config_index indexBefore = m_snapshot ? m_snapshot->appliedIndex : core::config_index {};
    m_snapshot = std::move(snapshot);
    if (m_snapshot->sync != syncBefore)
        m_log.write<event::SyncChanged>(
            nameOf(syncBefore), nameOf(m_snapshot->sync), m_snapshot->appliedIndex.value);
    if (m_snapshot->appliedIndex != indexBefore)
        m_log.write<event::ConfigApplied>(m_snapshot->appliedIndex.value, m_snapshot->services.size());
    reportMembers(engine.members());
}

void fleet_reporter::reportMembers(const std::vector<core::member>& members)
{
    std::map<core::host_id, core::member> current;
    for (const core::member& member : members) {
        const auto previous = m_members.find(member.id);
        const std::string from = previous == m_members.end() ? "Unknown" : nameOf(previous->second.state);
        if (from != nameOf(member.state))
            m_log.write<event::MemberChanged>(member.peerAddress.toString(), member.dataCentre, from,
                nameOf(member.state), member.incarnation);
        current.emplace(member.id, member);
    }
    for (const auto& [id, member] : m_members) {
        if (!current.contains(id))
            m_log.write<event::MemberChanged>(member.peerAddress.toString(), member.dataCentre,
                nameOf(member.state), "Unknown", member.incarnation);
    }
    m_members = std::move(current);
}

void fleet_reporter::handleUnreadable(
    const core::control_engine& engine, const std::vector<std::string>& keys)
{
    for (const std::string& key : keys) {
        const std::optional<core::store_entry> entry = engine.entry(key);
        m_log.write<event::ConfigUnreadable>(key, entry ? entry->modified.value : 0);
    }
}

void fleet_reporter::handlePacketReport(const packet_report& report)
{
    for (const handling_sample& sample : report.samples)
        m_metrics.observe(metric::PacketHandling, { serviceName(sample.service) },
            std::chrono::duration<double>(sample.elapsed).count());
    for (const core::server_evidence& server : report.output.servers)
        m_metrics.add(metric::ServiceNewFlows,
            { serviceName(server.service), std::to_string(server.server.value) }, server.newFlows);
    for (const core::class_evidence& entry : report.output.classes) {
        const metrics::label_values labels { serviceName(entry.service),
            className(entry.service, entry.callerClass) };
        m_metrics.observe(metric::ClassNewFlows, labels, entry.newFlows);
        m_metrics.add(metric::ClassRefused, labels, entry.refused);
    }
}

void fleet_reporter::advance(
    const core::control_engine& engine, const peer_port_counters& peers, core::timestamp now)
{
    if (now >= m_nextRefresh) {
        m_nextRefresh = now + refreshPeriod;
        refreshPacketMetrics();
        refreshPeerMetrics(engine, peers);
        refreshEpochs();
    }
    if (now >= m_nextSummary) {
        m_nextSummary = now + summaryPeriod;
        reportDrops(peers);
    }
}

void fleet_reporter::refreshPacketMetrics()
{
    const packet_counters& packets = m_channels.packets;
    m_metrics.raiseTo(metric::PacketsReceived, { "fabric" }, packets.fromFabric.value());
    m_metrics.raiseTo(metric::PacketsReceived, { "redirect" }, packets.redirectsIn.value());
    m_metrics.raiseTo(metric::PacketsForwarded, {}, packets.forwarded.value());
    const auto raise = [this](metric which) {
        return [this, which](const std::string& name, const relaxed_counter& counter) {
            // Leaves out reasons that never occurred.
            if (counter.value() > 0)
                m_metrics.raiseTo(which, { name }, counter.value());
        };
    };
    forEachCounter<core::redirect_stage>(packets.redirectsOut, raise(metric::PacketsRedirected));
    forEachCounter<core::refusal_reason>(packets.refused, raise(metric::PacketsRefused));
    forEachCounter<core::drop_reason>(packets.dropped, raise(metric::PacketsDropped));
    for (const auto& [name, total] : inputFaults(packets)) {
        if (total > 0)
            m_metrics.raiseTo(metric::PacketsDropped, { name }, total);
    }
    raise(metric::PacketsDropped)("SendFailed", packets.sendFailed);
    raise(metric::PacketsDropped)("NotAnswered", packets.notAnswered);
    m_metrics.raiseTo(metric::ReportsPostponed, {}, packets.reportsPostponed.value());
    m_metrics.set(metric::LocalFlows, {}, packets.localFlows.load(std::memory_order_relaxed));
    m_metrics.set(metric::TrackedFlows, {}, packets.trackedFlows.load(std::memory_order_relaxed));
}

void fleet_reporter::refreshPeerMetrics(const core::control_engine& engine, const peer_port_counters& peers)
{
    m_metrics.raiseTo(metric::ControlSent, {}, peers.sentBytes);
    m_metrics.raiseTo(metric::ControlReceived, {}, peers.receivedBytes);
    forEachCounter<wire::peer_codec_error>(
        peers.dropped, [this](const std::string& name, std::uint64_t total) {
            if (total > 0)
                m_metrics.raiseTo(metric::PeerDropped, { name }, total);
        });
    m_metrics.raiseTo(metric::StoreCalls, {}, m_channels.storeCalls.load(std::memory_order_relaxed));
    m_metrics.set(metric::ConfigIndex, {}, engine.appliedIndex().value);
    const std::vector<core::member> members = engine.members();
    for (const core::member_state state : { core::member_state::Alive, core::member_state::Suspect,
             core::member_state::Leaving, core::member_state::Dead })
        m_metrics.set(metric::Members, { nameOf(state) },
            std::count_if(members.begin(), members.end(),
                [state](const core::member& member) { return member.state == state; }));
    const core::sync_state current = m_snapshot ? m_snapshot->sync : core::sync_state::Starting;
    for (const core::sync_state state : { core::sync_state::Starting, core::sync_state::Unsynchronized,
             core::sync_state::Synchronized, core::sync_state::Isolated })
        m_metrics.set(metric::SyncState, { nameOf(state) }, state == current ? 1 : 0);
    forEachRing(m_channels, [this](const char* name, const auto& ring) {
        m_metrics.set(metric::RingOccupancy, { name }, ring.size());
        m_metrics.raiseTo(metric::RingDropped, { name }, ring.dropped());
    });
}

void fleet_reporter::refreshEpochs()
{
    if (!m_snapshot)
        return;
    for (const std::shared_ptr<const core::service_config>& service : m_snapshot->services)
        m_metrics.set(metric::LiveEpochs, { service->name }, service->epochs.size());
}

void fleet_reporter::reportDrops(const peer_port_counters& peers)
{
    forEachCounter<wire::peer_codec_error>(peers.dropped, [&](const std::string& name, std::uint64_t total) {
        if (const std::uint64_t count = increaseSinceSummary("peer " + name, total); count > 0)
            m_log.write<event::PeerInputDropped>(name, count, peers.lastDroppedSender);
    });
    if (const std::uint64_t count = increaseSinceSummary("peer send", peers.sendFailed); count > 0)
        m_log.write<event::PeerSendFailed>(peers.lastSendFailure, count);
    for (const auto& [name, total] : inputFaults(m_channels.packets)) {
        if (const std::uint64_t count = increaseSinceSummary("packet " + name, total); count > 0)
            m_log.write<event::PacketInputDropped>(name, count);
    }
    if (const std::uint64_t count
        = increaseSinceSummary("packet send", m_channels.packets.sendFailed.value());
        count > 0)
        m_log.write<event::PacketSendFailed>(count);
    forEachRing(m_channels, [this](const char* name, const auto& ring) {
        if (const std::uint64_t count = increaseSinceSummary(std::string("ring ") + name, ring.dropped());
            count > 0)
            m_log.write<event::RingFull>(name, count);
    });
}

std::uint64_t fleet_reporter::increaseSinceSummary(const std::string& counterName, std::uint64_t total)
{
    std::uint64_t& reported = m_reportedTotals[counterName];
    const std::uint64_t grown = total - reported;
    reported = total;
    return grown;
}

std::string fleet_reporter::serviceName(core::service_id id) const
{
    if (m_snapshot) {
        for (const std::shared_ptr<const core::service_config>& service : m_snapshot->services) {
            if (service->id == id)
                return service->name;
        }
    }
    return std::to_string(id.value);
}

std::string fleet_reporter::className(core::service_id id, std::uint32_t index) const
{
    if (m_snapshot) {
        for (const std::shared_ptr<const core::service_config>& service : m_snapshot->services) {
            if (service->id == id && index < service->classes.size())
                return service->classes[index].name;
        }
    }
    return "(none)";
}

} // namespace shallotcove::daemon
