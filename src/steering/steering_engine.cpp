#include <shallotcove/steering/steering_engine.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <shallotcove/steering/routing_config.hpp>

namespace shallotcove::steering {

namespace {

    constexpr std::chrono::milliseconds sweepInterval { 250 };
    // Maximum time between two calls of advance() that callers of the library must allow for.
    constexpr std::chrono::seconds maximumAdvanceInterval { 1 };
    // Waiting flows are examined this often, and whenever a flow ends.
    constexpr std::chrono::milliseconds waitingInterval { 20 };
    // Upper bound of the bytes that a caller sends in one flow. A packet with a larger distance from the
    // start belongs to another flow.
    constexpr std::int32_t maximumFlowBytes = 1 << 24;
    // Upper bound of the payload that a caller sends without an acknowledgement, with a reserve for packets
    // that went through other hosts. The sequence numbers of the next flow between the same addresses start
    // further away: those of TCP advance by 250,000 a second.
    constexpr std::int32_t maximumBytesInFlight = 1 << 16;

    /// Sequence number of the packet, relative to that of the first packet of the flow. Sequence numbers wrap
    /// around.
    std::int32_t relativeSequence(const caller_packet& packet, const flow_record& record)
    {
        return static_cast<std::int32_t>(packet.sequence - record.opening.sequence);
    }

    // Events that have not been taken are dropped beyond this number. A host places far fewer flows between
    // two calls of takeEvents().
    constexpr std::size_t maximumEvents = 4096;

} // namespace

steering_engine::steering_engine(steering_options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
    , m_servers(m_options)
    , m_trackedFlows(m_options.maximumTrackedFlows)
    , m_neighbourLoads(&server_record::neighbourFlows, m_options.neighbourLoadLifetime)
    , m_remoteLoads(&server_record::remoteFlows, m_options.neighbourLoadLifetime)
    , m_neighbourHistory(m_options.neighbourLoadLifetime)
    , m_heldRequests(m_options)
{
    m_coldAdmission.setMinimumHosts(m_options.assumedHosts);
}

packet_decision steering_engine::handlePacket(const caller_packet& packet, core::timestamp now)
{
    if (!m_firstPacketAt)
        m_firstPacketAt = now;
    return handle(packet, hold_permission::MayHold, now);
}

packet_decision steering_engine::handle(
    const caller_packet& packet, hold_permission permission, core::timestamp now)
{
    if (packet.isOpening)
        return handleOpening(packet, now);
    flow_record* record = m_trackedFlows.find(packet.flow);
    // A late packet of an earlier flow between the same addresses must not affect the current flow.
    if (record != nullptr && !belongsTo(packet, *record))
        return handleOtherFlow(packet, *record, now);
    if (permission == hold_permission::MayHold && isBehindHeldPackets(packet)) {
        if (record != nullptr)
            record->lastPacketAt = now;
        return handleHeldFlow(packet);
    }
    if (record != nullptr
        && (record->state == flow_state::Waiting || record->state == flow_state::Declined)) {
        // The flow was opened through another host, so it no longer waits here.
        removeFlow(packet.flow);
        record = nullptr;
    }
    return record != nullptr ? handleTrackedFlow(packet, *record, permission, now)
                             : handleUntrackedFlow(packet, now);
}

bool steering_engine::belongsTo(const caller_packet& packet, const flow_record& record)
{
    const std::int32_t sequence = relativeSequence(packet, record);
    // The tag alone is no proof of another flow: a late answer of a second server that the flow was offered
    // to changes the tag that the caller repeats.
    if (packet.tag != record.server && packet.tag != server_tag {}
        && std::abs(std::int64_t { sequence } - record.highestSequence) > maximumBytesInFlight)
        return false;
    // A record that was created from a later packet may also see retransmissions of earlier ones.
    return record.opening.isOpening ? sequence >= 0 && sequence <= maximumFlowBytes
                                    : std::abs(std::int64_t { sequence }) <= maximumFlowBytes;
}

packet_decision steering_engine::handleOtherFlow(
    const caller_packet& packet, const flow_record& record, core::timestamp now)
{
    // With random sequence numbers, a packet that is far ahead may be a late one of an earlier flow. The
    // record of an ended flow is still needed for late copies of its first packet.
    const std::int32_t sequence = relativeSequence(packet, record);
    const bool isLater = sequence > record.highestSequence && sequence <= maximumFlowBytes;
    if (!isLater || record.state == flow_state::Ended || m_servers.find(packet.tag) == nullptr)
        return forwardByTag(packet, now);
    removeFlow(packet.flow);
    return handleUntrackedFlow(packet, now);
}

void steering_engine::removeFlow(const flow_address& flow)
{
    flow_record* const record = m_trackedFlows.find(flow);
    if (record == nullptr)
        return;
    if (record->state == flow_state::Waiting)
        stopWaiting(flow);
    m_heldRequests.flush(flow);
    removeFromLoad(*record);
    removeFromEstablished(*record);
    m_trackedFlows.erase(flow);
}

void steering_engine::stopWaiting(const flow_address& flow)
{
    m_waitingCount = 0;
    for (auto& [service, waiting] : m_waitingFlows) {
        waiting.remove(flow);
        m_waitingCount += waiting.size();
    }
}

packet_decision steering_engine::handleTrackedFlow(
    const caller_packet& packet, flow_record& record, hold_permission permission, core::timestamp now)
{
    record.lastPacketAt = now;
    record.highestSequence = std::max(record.highestSequence, relativeSequence(packet, record));
    if (record.state == flow_state::Opening && packet.isAcknowledging)
        markOpen(packet, record, now);
    if (record.state == flow_state::Open && trackAnswer(packet, record, now)) {
        if (permission == hold_permission::MayHold && tryHold(packet, record, now))
            return { packet_action::Hold, packet_reason::None, {}, {}, {} };
        trackRequest(packet, record, now);
    }
    const server_record* const server = m_servers.find(record.server);
    if (packet.isClosing || packet.isReset)
        markEnded(record, now, steering_event_kind::FlowEnded);
    if (server == nullptr)
        return handleUntrackedFlow(packet, now);
    return forwardTo(*server, now);
}

bool steering_engine::trackAnswer(const caller_packet& packet, flow_record& record, core::timestamp now)
{
    // Acknowledgement numbers wrap around.
    const std::int32_t received
        = static_cast<std::int32_t>(packet.acknowledgement - record.acknowledgedBeforeRequest);
    if (record.awaitsAnswer && received > 0)
        recordAnswer(packet, record, now);
    const bool isLateCopy = record.hadRequest && received < 0;
    return packet.payloadBytes > 0 && !record.awaitsAnswer && !isLateCopy;
}

void steering_engine::trackRequest(const caller_packet& packet, flow_record& record, core::timestamp now)
{
    record.awaitsAnswer = true;
    // The time of the first request includes the opening of its flow.
    record.requestedAt = record.hadRequest ? now : record.offeredAt;
    if (std::exchange(record.hadRequest, true))
        recordLongFlowRequest(record.server, now);
    record.acknowledgedBeforeRequest = packet.acknowledgement;
    if (!record.isCountedAsLoad)
        addToLoadAgain(record);
    record.requestForwardedAt = now;
    if (const server_record* const server = m_servers.find(record.server))
        record.flowsPerSlotAtRequest = flowsPerSlotOf(*server);
}

void steering_engine::recordAnswer(const caller_packet& packet, flow_record& record, core::timestamp now)
{
    record.awaitsAnswer = false;
    record.acknowledgedBeforeRequest = packet.acknowledgement;
    const bool wasUnanswered = std::exchange(record.isUnanswered, false);
    // Callers need not acknowledge a short answer, so their next request may be the first sign of it. The
    // answer time is unknown then.
    const bool isAnswerTimeKnown = record.isCountedAsLoad && packet.payloadBytes == 0;
    removeFromLoad(record);
    server_record* const server = m_servers.find(record.server);
    if (server == nullptr)
        return;
    if (wasUnanswered)
        server->answers.recordLateAnswer(now);
    else
        server->answers.recordAnswer(now);
    // A flow that does not count as load waited long. Its closing packet may have come long after the answer.
    if (isAnswerTimeKnown || (packet.payloadBytes == 0 && !packet.isClosing))
        recordSpeed(*server, record, now);
    if (!isAnswerTimeKnown)
        return;
    recordWork(*server, record, now);
    waiting_flows& waiting = waitingFlowsOf(server->entry.service);
    waiting.recordServiceTime(
        std::min(now - record.requestedAt, m_options.inactiveServiceTimes * waiting.serviceTime()));
}

packet_decision steering_engine::forwardByTag(const caller_packet& packet, core::timestamp now) const
{
    const server_record* const server = m_servers.find(packet.tag);
    return server != nullptr
        ? forwardTo(*server, now)
        : packet_decision { packet_action::Drop, packet_reason::UnknownServer, {}, {}, {} };
}

packet_decision steering_engine::handleUntrackedFlow(const caller_packet& packet, core::timestamp now)
{
    const server_record* const server = m_servers.find(packet.tag);
    // The flow was opened through another host. It counts as load of this host from its first request here.
    if (server != nullptr && packet.payloadBytes > 0 && !packet.isClosing && !packet.isReset) {
        flow_record* const record = m_trackedFlows.add(packet.flow);
        if (record != nullptr) {
            record->state = flow_state::Open;
            record->opening = packet;
            record->startedAt = record->offeredAt = record->lastPacketAt = now;
            record->idleTimeout = m_options.defaultIdleTimeout;
            record->server = server->tag;
            addToEstablished(*record);
            trackRequest(packet, *record, now);
        }
    }
    return forwardByTag(packet, now);
}

void steering_engine::markOpen(const caller_packet& packet, flow_record& record, core::timestamp now)
{
    record.state = flow_state::Open;
    // The first acknowledgement carries the tag of the server that it acknowledges. That server may have
    // answered after the flow was offered to the next one.
    const bool isOffered
        = std::find(record.offered.begin(), record.offered.end(), packet.tag) != record.offered.end();
    // Another host may have offered the flow to a server that this host did not choose.
    server_record* const tagged = m_servers.find(packet.tag);
    server_record* const server = tagged != nullptr ? tagged : m_servers.find(record.server);
    if (server == nullptr)
        return;
    removeFromLoad(record);
    addToLoad(record, *server);
    addToEstablished(record);
    if (isOffered && record.offered.size() == 1)
        m_openingTimer.record(server->entry.dataCentre, now - record.offeredAt);
    recordAnswered(*server, now);
}

void steering_engine::markEnded(flow_record& record, core::timestamp now, steering_event_kind kind)
{
    if (record.state == flow_state::Ended)
        return;
    const server_record* const server = m_servers.find(record.server);
    if (kind == steering_event_kind::FlowEnded && record.state == flow_state::Open && server != nullptr)
        checkRejection(*server, record, now);
    steering_event event = eventOf(kind, record.opening, server, now);
    event.elapsed = now - record.startedAt;
    event.attempt = static_cast<std::uint32_t>(record.offered.size());
    const route* const target = findRoute(record.opening.flow);
    event.subject = target == nullptr ? "" : target->name;
    addEvent(std::move(event));
    removeFromLoad(record);
    removeFromEstablished(record);
    record.state = flow_state::Ended;
}

void steering_engine::addToLoadAgain(flow_record& record)
{
    server_record* const server = m_servers.find(record.server);
    if (server != nullptr)
        addToLoad(record, *server);
}

void steering_engine::addToLoad(flow_record& record, server_record& server)
{
    record.server = server.tag;
    record.isCountedAsLoad = true;
    ++server.openFlows;
}

void steering_engine::removeInactiveFromLoad(flow_record& record, core::timestamp now)
{
    if (!record.isCountedAsLoad || record.state != flow_state::Open)
        return;
    const server_record* const server = m_servers.find(record.server);
    if (server == nullptr)
        return;
    const core::duration inactiveLimit
        = m_options.inactiveServiceTimes * waitingFlowsOf(server->entry.service).serviceTime();
    if (now - record.lastPacketAt >= std::max(inactiveLimit, m_options.minimumInactiveTime))
        removeFromLoad(record);
}

void steering_engine::checkAnswer(flow_record& record, core::timestamp now)
{
    if (record.state != flow_state::Open || !record.awaitsAnswer || record.isUnanswered)
        return;
    server_record* const server = m_servers.find(record.server);
    if (server == nullptr)
        return;
    const core::duration answerLimit
        = m_options.unansweredServiceTimes * waitingFlowsOf(server->entry.service).serviceTime();
    if (now - record.requestedAt < std::max(answerLimit, m_options.minimumUnansweredTime))
        return;
    record.isUnanswered = true;
    if (server->answers.recordTimeout(now, m_options))
        addEvent(eventOf(steering_event_kind::ServerUnanswered, {}, server, now));
}

void steering_engine::removeFromLoad(flow_record& record)
{
    if (!std::exchange(record.isCountedAsLoad, false))
        return;
    server_record* const server = m_servers.find(record.server);
    if (server != nullptr && server->openFlows > 0)
        --server->openFlows;
}

void steering_engine::handlePause(core::timestamp now)
{
    m_deadlines = {};
    m_heldRequests.flushAll();
    std::vector<flow_address> unopened;
    m_trackedFlows.forEach([&unopened](flow_record& record) {
        if (record.state != flow_state::Open && record.state != flow_state::Ended)
            unopened.push_back(record.opening.flow);
    });
    for (const flow_address& flow : unopened) {
        flow_record* const record = m_trackedFlows.find(flow);
        if (record->state == flow_state::Opening)
            markEnded(*record, now, steering_event_kind::FlowAbandoned);
        removeFlow(flow);
    }
}

std::vector<delayed_offer> steering_engine::advance(core::timestamp now)
{
    std::vector<delayed_offer> offers;
    while (!m_deadlines.empty() && m_deadlines.top().at <= now) {
        const offer_deadline due = m_deadlines.top();
        m_deadlines.pop();
        flow_record* const record = m_trackedFlows.find(due.flow);
        if (record == nullptr || record->offeredAt != due.offeredAt)
            continue;
        if (record->state == flow_state::Declined) {
            const caller_packet opening = record->opening;
            offers.push_back({ opening, refuseHeld(*record, record->refusalReason, now) });
            continue;
        }
        if (record->state != flow_state::Opening)
            continue;
        removeFromLoad(*record);
        // Without a recent packet of its caller, the flow is no evidence against the server: the caller gave
        // up, or moved to another host while its packet was queued here.
        if (due.at >= record->openingDeadline
            || due.offeredAt - record->lastPacketAt > m_options.callerActivityWindow)
            continue;
        recordUnanswered(record->server, now);
        const route* const target = findRoute(due.flow);
        if (record->offered.size() >= m_options.attemptsPerFlow || target == nullptr)
            continue;
        const caller_packet opening = record->opening;
        const packet_decision decision = offerAgain(*record, *target, now);
        offers.push_back({ opening, decision });
    }
    if (now >= m_nextSweepAt) {
        m_nextSweepAt = now + sweepInterval;
        measureRequestRates(now);
        m_trackedFlows.forEach([this, now](flow_record& record) {
            removeInactiveFromLoad(record, now);
            checkAnswer(record, now);
        });
        m_trackedFlows.expire(now, m_options.endedFlowRetention, [this, now](flow_record& record) {
            if (record.state == flow_state::Waiting) {
                stopWaiting(record.opening.flow);
                return;
            }
            markEnded(record, now, steering_event_kind::FlowAbandoned);
        });
        reportFlowLimits(now);
        m_neighbourLoads.expire(m_servers, now);
        m_neighbourHistory.expire(m_servers, now);
        m_partialReports.expire(m_neighbourHistory.lifetime(), now);
        m_remoteLoads.expire(m_servers, now);
        expireServers(now);
    }
    refreshCapacity(now);
    return offers;
}

packet_decision steering_engine::forwardTo(const server_record& server, core::timestamp now) const
{
    const auto out = m_dataCentreOutSince.find(server.entry.dataCentre);
    if (out != m_dataCentreOutSince.end() && now - out->second >= m_options.evacuationGrace)
        return { packet_action::Drop, packet_reason::DataCentreOut, {}, {}, {} };
    return { packet_action::Forward, packet_reason::None, server.entry.address, server.entry.wireId,
        server.tag };
}

steering_event steering_engine::eventOf(steering_event_kind kind, const caller_packet& packet,
    const server_record* server, core::timestamp now) const
{
    steering_event event;
    event.kind = kind;
    event.flow = packet.flow;
    event.at = now;
    event.configVersion = m_config == nullptr ? 0 : m_config->version;
    if (server != nullptr) {
        event.wireId = server->entry.wireId;
        event.openFlows = server->openFlows;
        event.neighbourFlows = server->neighbourFlows;
        event.unanswered = server->evidence.unanswered();
    }
    return event;
}

void steering_engine::addEvent(steering_event event)
{
    if (m_events.size() < maximumEvents)
        m_events.push_back(std::move(event));
}

std::vector<steering_event> steering_engine::takeEvents() { return std::exchange(m_events, {}); }

core::timestamp steering_engine::nextDeadline(core::timestamp now) const
{
    core::timestamp next = std::min(now + maximumAdvanceInterval, m_nextSweepAt);
    if (m_waitingCount > 0)
        next = std::min(next, now + waitingInterval);
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.top().at);
    if (const std::optional<core::timestamp> release = m_heldRequests.nextRelease())
        next = std::min(next, *release);
    return next;
}

} // namespace shallotcove::steering
