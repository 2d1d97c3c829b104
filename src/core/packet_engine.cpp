#include <shallotcove/core/packet_engine.hpp>

#include <algorithm>
#include <bit>

#include "packet_engine_implementation.hpp"

namespace shallotcove::core {

namespace {

    constexpr std::size_t minimumTableSize = 64;
    constexpr std::size_t maximumTableSize = std::size_t { 1 } << 28;
    constexpr duration maximumIdleTimeout = std::chrono::hours { 24 };
    /// A flow without a second packet for this long counts as silent.
    constexpr duration silenceTimeout = std::chrono::seconds { 1 };
    /// Short, because a server that has become cold should be limited within 2 s.
    constexpr duration reportPeriod = silenceTimeout / reportsUntilSilent;
    /// After a longer gap between two calls, the host may have been paused and have missed updates.
    constexpr duration pauseThreshold = std::chrono::seconds { 1 };
    /// Time after a pause in which the control engine detects the pause and marks the host as unsynchronized.
    constexpr duration pauseRecoveryTime = std::chrono::seconds { 1 };
    /// Recent flows that one call of advance() checks, so that the call takes less than a millisecond.
    constexpr std::size_t recentFlowsPerStep = 2048;

    bool isTableSize(std::size_t entries)
    {
        return std::has_single_bit(entries) && entries >= minimumTableSize && entries <= maximumTableSize;
    }

    std::size_t recentFlowCapacity(const packet_engine_options& options)
    {
        // Holds the flows of 8 s at 4,000 new flows a second; fewer for small tables.
        return std::clamp<std::size_t>(options.localFlows / 16, 256, 32768);
    }

    bool canBeAmbiguous(const routing_view& view)
    {
        return std::any_of(view.services().begin(), view.services().end(),
            [](const std::unique_ptr<service_view>& service) { return service->canBeAmbiguous(); });
    }

} // namespace

bool isStale(const flow_entry& entry, timestamp now)
{
    // Callers do not reuse an address pair for 60 s after a flow (TIME_WAIT); some network stacks wait only
    // 30 s.
    constexpr duration staleTimeout = std::chrono::seconds { 20 };
    return toTicks(now) - entry.lastSeen > toTicks(staleTimeout);
}

decision drop(drop_reason reason)
{
    decision result;
    result.kind = decision_kind::Drop;
    result.dropped = reason;
    return result;
}

decision refuse(refusal_reason reason)
{
    decision result;
    result.kind = decision_kind::Refuse;
    result.refused = reason;
    return result;
}

packet_engine::implementation::implementation(const packet_engine_options& options)
    : m_options(options)
    , m_records(options)
    , m_recent(recentFlowCapacity(options))
    , m_sender(options)
    , m_scan(options)
{
}

void packet_engine::implementation::applySnapshot(
    std::shared_ptr<const routing_snapshot> snapshot, timestamp now)
{
    detectPause(now);
    if (snapshot == nullptr)
        return;
    for (const std::shared_ptr<const service_config>& service : snapshot->services)
        m_records.addService(service->id);
    std::unique_ptr<routing_view> view
        = std::make_unique<routing_view>(std::move(snapshot), m_view.get(), m_records.counters(), now);
    if (m_view == nullptr || m_view->hosts() != view->hosts())
        m_ownersChangedAt = now;
    m_view = std::move(view);
    m_scan.applyView(*m_view, now);
    if (canBeAmbiguous(*m_view))
        m_pushPosition = m_recent.begin();
}

void packet_engine::implementation::handleTrackBatch(const track_batch& batch, timestamp now)
{
    detectPause(now);
    if (m_view == nullptr)
        return;
    for (const tracked_flow& flow : batch.flows) {
        flow_entry* const entry = m_records.findTracked(flow.flow, flow.service, now);
        if (entry == nullptr || (entry->has(flow_flag::Provisional) && entry->server != flow.server)) {
            m_records.recordTracked(flow, flow_flag::Unconfirmed, *m_view, now);
        } else if (entry->server == flow.server) {
            entry->clear(flow_flag::Provisional);
            entry->lastSeen = toTicks(now);
        }
    }
}

void packet_engine::implementation::handleHint(const hint& hints, timestamp now)
{
    detectPause(now);
    if (m_view == nullptr)
        return;
    for (const tracked_flow& flow : hints.flows) {
        flow_entry* const entry = m_records.findLocal(flow.flow, flow.service, now);
        if (entry == nullptr || entry->has(flow_flag::Unconfirmed) || isStale(*entry, now))
            m_records.recordLocal(flow, flow_flag::Tracked, *m_view, now);
    }
}

packet_engine_output packet_engine::implementation::advance(timestamp now)
{
    detectPause(now);
    packet_engine_output output;
    if (m_view == nullptr)
        return output;
    countSilentFlows(now);
    pushAmbiguousFlows(now);
    m_scan.advance(*m_view, m_records, m_sender, now);
    m_sender.flush(output);
    m_scan.report(output);
    if (now >= m_nextReport) {
        m_records.counters().report(output);
        m_nextReport = now + reportPeriod;
    }
    return output;
}

void packet_engine::implementation::detectPause(timestamp now)
{
    if (m_wasCalled && now - m_lastCallTime > pauseThreshold)
        m_viewUncertainUntil = now + pauseRecoveryTime;
    m_wasCalled = true;
    m_lastCallTime = std::max(m_lastCallTime, now);
}

/// Replaces a refusal by a drop while the view of this host may be outdated. After a pause the packet may
/// have waited here while copies of it were forwarded by other hosts, so the caller must not be told that it
/// was not forwarded.
decision packet_engine::implementation::dropUncertainRefusal(const decision& made, timestamp now) const
{
    const bool saysNotForwarded
        = made.kind == decision_kind::Refuse && made.refused != refusal_reason::DataCentreOut;
    return saysNotForwarded && !isSynchronized(now) ? drop(drop_reason::AdmissionUncertain) : made;
}

bool packet_engine::implementation::isReady() const
{
    return m_view != nullptr && m_view->snapshot().sync != sync_state::Starting;
}

bool packet_engine::implementation::isSynchronized(timestamp now) const
{
    return m_view->snapshot().sync != sync_state::Unsynchronized && now >= m_viewUncertainUntil;
}

decision packet_engine::implementation::forwardTo(
    const packet_context& context, const server_view& server) const
{
    decision result;
    result.kind = decision_kind::Forward;
    result.serverAddress = server.address;
    result.service = context.service.id();
    result.server = server.id;
    return result;
}

void packet_engine::implementation::recordPlacement(const packet_context& context, server_view& server)
{
    ++server.counters->newFlows;
    // Only for a marked first packet does the caller wait for an answer of the server before it sends more.
    if (context.isFirst())
        m_recent.add({ context.flow, context.service.id(), context.now });
}

/// Counts recently placed flows as silent if no packet has followed the first one.
void packet_engine::implementation::countSilentFlows(timestamp now)
{
    m_silenceCheckPosition = std::max(m_silenceCheckPosition, m_recent.begin());
    for (; m_silenceCheckPosition < m_recent.end(); ++m_silenceCheckPosition) {
        const recent_flow& recent = m_recent.at(m_silenceCheckPosition);
        if (now - recent.placed < silenceTimeout)
            return;
        flow_entry* entry = m_records.findLocal(recent.flow, recent.service, now);
        if (entry == nullptr)
            entry = m_records.findTracked(recent.flow, recent.service, now);
        if (entry == nullptr || !entry->has(flow_flag::AwaitsSecondPacket))
            continue;
        entry->clear(flow_flag::AwaitsSecondPacket);
        if (server_counters* const counters = m_records.counters().findServer(entry->service, entry->server))
            ++counters->silentFlows;
    }
}

/// Sends flows that have become ambiguous shortly after they were placed here to their owner and backup.
/// Without an entry, an owner would place such a flow anew if the caller repeats the first packet.
void packet_engine::implementation::pushAmbiguousFlows(timestamp now)
{
    m_pushPosition = std::max(m_pushPosition, m_recent.begin());
    const std::size_t last = std::min(m_recent.end(), m_pushPosition + recentFlowsPerStep);
    for (; m_pushPosition < last; ++m_pushPosition) {
        const recent_flow& recent = m_recent.at(m_pushPosition);
        service_view* const service = m_view->findService(recent.service);
        if (now - recent.placed > m_options.refusalWindow || service == nullptr || !service->canBeAmbiguous())
            continue;
        flow_entry* const entry = m_records.findLocal(recent.flow, recent.service, now);
        if (entry == nullptr || !entry->has(flow_flag::Unconfirmed) || entry->has(flow_flag::Pushed)
            || !service->choose(recent.flow).isAmbiguous)
            continue;
        const flow_role role = roleFor(recent.flow);
        if (!m_sender.canQueueFlow(2, now))
            return;
        entry->set(flow_flag::Pushed);
        const tracked_flow flow { entry->flow, entry->service, entry->server };
        if (!role.isOwner)
            m_sender.queueFlow(role.owner->id, flow, now);
        if (!role.isBackup && role.backup != nullptr)
            m_sender.queueFlow(role.backup->id, flow, now);
    }
}

tl::expected<packet_engine, packet_engine_error> packet_engine::create(const packet_engine_options& options)
{
    if (!isTableSize(options.localFlows) || !isTableSize(options.trackedFlows))
        return tl::unexpected(packet_engine_error::CapacityOutOfRange);
    if (options.idleTimeout <= duration::zero() || options.idleTimeout > maximumIdleTimeout)
        return tl::unexpected(packet_engine_error::IdleTimeoutOutOfRange);
    return packet_engine(std::make_unique<implementation>(options));
}

packet_engine::packet_engine(std::unique_ptr<implementation> engine)
    : m_implementation(std::move(engine))
{
}

packet_engine::packet_engine(packet_engine&&) noexcept = default;
packet_engine& packet_engine::operator=(packet_engine&&) noexcept = default;
packet_engine::~packet_engine() = default;

void packet_engine::applySnapshot(std::shared_ptr<const routing_snapshot> snapshot, timestamp now)
{
    m_implementation->applySnapshot(std::move(snapshot), now);
}

decision packet_engine::handlePacket(
    const packet_summary& packet, const socket_address& fabricAddress, timestamp now)
{
    return m_implementation->dropUncertainRefusal(
        m_implementation->handlePacket(packet, fabricAddress, now), now);
}

decision packet_engine::handleRedirect(
    const packet_summary& packet, const redirect_header& header, timestamp now)
{
    return m_implementation->dropUncertainRefusal(m_implementation->handleRedirect(packet, header, now), now);
}

void packet_engine::handleTrackBatch(const track_batch& batch, timestamp now)
{
    m_implementation->handleTrackBatch(batch, now);
}

void packet_engine::handleHint(const hint& hints, timestamp now) { m_implementation->handleHint(hints, now); }

packet_engine_output packet_engine::advance(timestamp now) { return m_implementation->advance(now); }

std::size_t packet_engine::localFlowCount() const { return m_implementation->localFlowCount(); }
std::size_t packet_engine::trackedFlowCount() const { return m_implementation->trackedFlowCount(); }

} // namespace shallotcove::core
