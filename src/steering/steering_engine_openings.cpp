#include <shallotcove/steering/steering_engine.hpp>

#include <algorithm>
#include <limits>
#include <utility>

#include <shallotcove/steering/routing_config.hpp>

namespace shallotcove::steering {

packet_decision steering_engine::handleOpening(const caller_packet& packet, core::timestamp now)
{
    // A caller cannot acknowledge, reset or close a flow in its opening packet, so the packet is not from a
    // caller.
    if (packet.isAcknowledging || packet.isReset || packet.isClosing)
        return { packet_action::Drop, packet_reason::UnknownServer, {}, {}, {} };
    flow_record* record = m_trackedFlows.find(packet.flow);
    if (record != nullptr && record->opening.sequence != packet.sequence) {
        // The caller reuses the port for a new flow.
        removeFlow(packet.flow);
        record = nullptr;
    }
    if (record != nullptr
        && (record->state == flow_state::Waiting || record->state == flow_state::Declined)) {
        record->lastPacketAt = now;
        return { packet_action::Drop, packet_reason::Waiting, {}, {}, {} };
    }
    if (record != nullptr && record->state != flow_state::Opening)
        return { packet_action::Drop, packet_reason::StaleCopy, {}, {}, {} };
    if (!m_isViewComplete || m_config == nullptr)
        return { packet_action::Drop, packet_reason::NotReady, {}, {}, {} };
    const route* const target = findRoute(packet.flow);
    if (target == nullptr) {
        removeFlow(packet.flow);
        return refuse(packet, packet_reason::NoRoute, {}, now);
    }
    if (record != nullptr) {
        record->lastPacketAt = now;
        return offerAgain(*record, *target, now);
    }
    const std::string* const service = chooseService(*target);
    if (service == nullptr)
        return refuse(packet, packet_reason::NoServer, {}, now);
    countTraffic(*service, now);
    if (hasLongFlows(*service, now))
        m_admissionPolicy.recordFlow(*service, *target, m_options, now);
    const placement placed = choosePlacement(
        *service, nullptr, *target, admissionOf(*service, *target, now - packet.age, false, now), now);
    if (placed.failure == packet_reason::Waiting
        || (placed.server != nullptr && !waitingFlowsOf(*service).isEmpty()))
        return enqueue(packet, *target, *service, placed, now);
    return applyPlacement(placed, packet, *target, now);
}

packet_decision steering_engine::offerAgain(flow_record& record, const route& target, core::timestamp now)
{
    const server_record* const former = m_servers.find(record.server);
    // The targets of the route may have changed since the flow was first offered.
    const bool isStillTarget = former != nullptr
        && std::any_of(target.targets.begin(), target.targets.end(), [former](const weighted_service& entry) {
               return entry.weight > 0 && entry.service == former->entry.service;
           });
    const std::string* const service = isStillTarget ? &former->entry.service : chooseService(target);
    const caller_packet opening = record.opening;
    if (service == nullptr) {
        removeFlow(opening.flow);
        return refuse(opening, packet_reason::NoServer, {}, now);
    }
    countTraffic(*service, now);
    return applyPlacement(choosePlacement(*service, &record, target, {}, now), opening, target, now);
}

placement steering_engine::choosePlacement(const std::string& service, const flow_record* record,
    const route& target, flow_admission admission, core::timestamp now)
{
    static const std::vector<server_tag> none;
    placement_context context = placementContextFor(service, now);
    context.admission = admission;
    return placeFlow(
        m_servers.serversOf(service), record != nullptr ? record->offered : none, target, context);
}

packet_decision steering_engine::enqueue(const caller_packet& packet, const route& target,
    const std::string& service, const placement& placed, core::timestamp now)
{
    waiting_flows& waiting = waitingFlowsOf(service);
    const core::timestamp sentAt = now - packet.age;
    const bool hasTimeout = target.timeout > std::chrono::milliseconds::zero();
    const core::duration timeout = hasTimeout ? core::duration(target.timeout) : m_options.defaultIdleTimeout;
    const waiting_flow entry { packet.flow, target.priority, now, sentAt + target.latencyGoal,
        sentAt + m_options.openingTimeout, sentAt + timeout,
        hasLongFlows(service, now) ? m_admissionPolicy.workOf(service, target, m_options, now)
                                   : core::duration {},
        sentAt + m_admissionPolicy.latestStartAge(service, target, m_options, now), false };
    flow_record* const record
        = m_waitingCount < m_options.waitingFlows && waiting.canServe(entry, flowsAtOnce(service, now), now)
        ? m_trackedFlows.add(packet.flow)
        : nullptr;
    if (record == nullptr)
        return refuse(packet, packet_reason::Overload, placed, now);
    record->state = flow_state::Waiting;
    record->opening = packet;
    record->startedAt = now;
    record->lastPacketAt = now;
    record->openingDeadline = entry.openingDeadline;
    record->idleTimeout = timeout;
    waiting.add(entry);
    ++m_waitingCount;
    steering_event event = eventOf(steering_event_kind::FlowWaiting, packet, nullptr, now);
    event.subject = target.name;
    event.priority = target.priority;
    event.permitted = placed.permitted;
    event.trusted = placed.trusted;
    addEvent(std::move(event));
    return { packet_action::Drop, packet_reason::Waiting, {}, {}, {} };
}

double steering_engine::flowsAtOnce(const std::string& service, core::timestamp now) const
{
    double slots = 0;
    for (const server_record* const server : m_servers.serversOf(service)) {
        if (server->entry.state == server_state::Ready
            && !m_dataCentresOut.contains(server->entry.dataCentre))
            slots += std::max(1U, server->entry.slots);
    }
    const double scale
        = hasLongFlows(service, now) ? m_admissionPolicy.scaleInEffect(service, m_options, now) : 1.0;
    return scale * slots * m_options.flowsPerSlot
        / static_cast<double>(std::max<std::size_t>(1, m_hostCount));
}

std::vector<delayed_offer> steering_engine::placeWaitingFlows(core::timestamp now)
{
    std::vector<delayed_offer> offers;
    for (auto& [service, waiting] : m_waitingFlows) {
        refuseWaiting(waiting.takeUnservable(flowsAtOnce(service, now), now), offers, now);
        bool mayUseReservedPlace = true;
        while (!waiting.isEmpty()) {
            const std::optional<waiting_flow> reserved
                = mayUseReservedPlace ? waiting.nextReserved(now) : std::nullopt;
            const std::optional<waiting_flow> next = reserved ? reserved : waiting.next(now);
            const flow_record* const record = m_trackedFlows.find(next->flow);
            const route* const target = findRoute(next->flow);
            const placement placed = record != nullptr && target != nullptr
                ? choosePlacement(service, nullptr, *target,
                    admissionOf(
                        service, *target, next->goalAt - target->latencyGoal, next->hasReservedPlace, now),
                    now)
                : placement {};
            if (placed.failure == packet_reason::Waiting && next->hasReservedPlace) {
                mayUseReservedPlace = false;
                continue;
            }
            if (placed.failure == packet_reason::Waiting)
                break;
            waiting.remove(next->flow);
            waiting.recordStart(*next, now);
            --m_waitingCount;
            if (record == nullptr)
                continue;
            const caller_packet opening = record->opening;
            if (target == nullptr || placed.server == nullptr) {
                const packet_reason reason = target == nullptr ? packet_reason::NoRoute : placed.failure;
                offers.push_back({ opening, refuseHeld(*record, reason, now) });
                continue;
            }
            offers.push_back({ opening, applyPlacement(placed, opening, *target, now) });
        }
        refuseWaiting(waiting.takeUntimely(flowsAtOnce(service, now), now), offers, now);
    }
    return offers;
}

void steering_engine::refuseWaiting(
    const std::vector<waiting_flow>& flows, std::vector<delayed_offer>& offers, core::timestamp now)
{
    for (const waiting_flow& waiting : flows) {
        --m_waitingCount;
        const flow_record* const record = m_trackedFlows.find(waiting.flow);
        if (record == nullptr)
            continue;
        const caller_packet opening = record->opening;
        offers.push_back({ opening, refuseHeld(*record, packet_reason::Overload, now) });
    }
}

packet_decision steering_engine::applyPlacement(
    const placement& placed, const caller_packet& packet, const route& target, core::timestamp now)
{
    if (placed.server == nullptr) {
        removeFlow(packet.flow);
        return refuse(packet, placed.failure, placed, now);
    }
    server_record& server = *placed.server;
    flow_record* record = m_trackedFlows.find(packet.flow);
    const bool isFirst = record == nullptr || record->state == flow_state::Waiting;
    steering_event event
        = eventOf(isFirst ? steering_event_kind::FlowPlaced : steering_event_kind::FlowPlacedAgain, packet,
            &server, now);
    event.subject = target.name;
    event.permitted = placed.permitted;
    event.trusted = placed.trusted;
    server.evidence.recordPlacement(now);
    m_dataCentreEvidence[server.entry.dataCentre].recordPlacement(now);
    ++server.flowsSinceReport;
    if (record == nullptr) {
        record = m_trackedFlows.add(packet.flow);
        if (record != nullptr) {
            record->startedAt = now;
            record->lastPacketAt = now;
            record->opening = packet;
            record->openingDeadline = now - packet.age + m_options.openingTimeout;
            record->idleTimeout = target.timeout > std::chrono::milliseconds::zero()
                ? core::duration(target.timeout)
                : m_options.defaultIdleTimeout;
        }
    }
    if (record != nullptr) {
        event.elapsed = now - record->startedAt;
        event.hasWaited = record->state == flow_state::Waiting;
        removeFromLoad(*record);
        record->state = flow_state::Opening;
        record->offered.push_back(server.tag);
        record->offeredAt = now;
        addToLoad(*record, server);
        event.attempt = static_cast<std::uint32_t>(record->offered.size());
        m_deadlines.push(
            { now + m_openingTimer.offerTimeout(server.entry.dataCentre, m_options), packet.flow, now });
    }
    addEvent(std::move(event));
    return forwardTo(server, now);
}

waiting_flows& steering_engine::waitingFlowsOf(const std::string& service)
{
    return m_waitingFlows.try_emplace(service, m_options.firstServiceTime, m_options.lowPriorityShare)
        .first->second;
}

packet_decision steering_engine::refuse(
    const caller_packet& packet, packet_reason reason, const placement& placed, core::timestamp now)
{
    if (packet.age == core::duration::zero())
        return refuseNow(packet, reason, placed, now);
    flow_record record;
    record.opening = packet;
    record.startedAt = record.lastPacketAt = now;
    return decline(std::move(record), reason, now);
}

packet_decision steering_engine::refuseNow(
    const caller_packet& packet, packet_reason reason, const placement& placed, core::timestamp now)
{
    steering_event event = eventOf(steering_event_kind::FlowRefused, packet, nullptr, now);
    event.reason = reason;
    if (const route* const target = findRoute(packet.flow)) {
        event.subject = target->name;
        event.priority = target->priority;
    }
    event.permitted = placed.permitted;
    event.trusted = placed.trusted;
    addEvent(std::move(event));
    return { packet_action::Refuse, reason, {}, {}, {} };
}

packet_decision steering_engine::decline(flow_record record, packet_reason reason, core::timestamp now)
{
    const caller_packet opening = record.opening;
    flow_record* const kept = m_trackedFlows.add(opening.flow);
    if (kept == nullptr)
        return { packet_action::Drop, reason, {}, {}, {} };
    *kept = std::move(record);
    kept->state = flow_state::Declined;
    kept->refusalReason = reason;
    kept->offeredAt = now;
    kept->idleTimeout = m_options.openingTimeout;
    m_deadlines.push({ now + m_options.refusalConfirmation, opening.flow, now });
    steering_event event = eventOf(steering_event_kind::FlowDeclined, opening, nullptr, now);
    event.reason = reason;
    addEvent(std::move(event));
    return { packet_action::Drop, packet_reason::Waiting, {}, {}, {} };
}

packet_decision steering_engine::refuseHeld(
    const flow_record& record, packet_reason reason, core::timestamp now)
{
    const flow_record held = record;
    m_trackedFlows.erase(held.opening.flow);
    const core::timestamp sentAt = held.startedAt - held.opening.age;
    const bool hasMissedRetransmission = std::any_of(m_options.openingRetransmissions.begin(),
        m_options.openingRetransmissions.end(), [&](core::duration delay) {
            return now - sentAt >= delay + m_options.retransmissionMargin
                && held.lastPacketAt - sentAt < delay - m_options.retransmissionMargin;
        });
    if (hasMissedRetransmission) {
        steering_event event = eventOf(steering_event_kind::FlowAbandoned, held.opening, nullptr, now);
        event.elapsed = now - held.startedAt;
        addEvent(std::move(event));
        return { packet_action::Drop, packet_reason::StaleCopy, {}, {}, {} };
    }
    const bool isFirstCopy = held.opening.age == core::duration::zero();
    if (!isFirstCopy && now - held.lastPacketAt < m_options.refusalConfirmation)
        return decline(held, reason, now);
    return refuseNow(held.opening, reason, {}, now);
}

const route* steering_engine::findRoute(const flow_address& flow) const
{
    const auto found = m_routes.find({ flow.serviceAddress, flow.servicePort });
    return found == m_routes.end() ? nullptr : found->second.get();
}

const std::string* steering_engine::chooseService(const route& target)
{
    std::uint64_t total = 0;
    for (const weighted_service& entry : target.targets)
        total += entry.weight;
    if (total == 0)
        return nullptr;
    std::uint64_t point = m_random(static_cast<std::uint32_t>(total));
    for (const weighted_service& entry : target.targets) {
        if (point < entry.weight)
            return &entry.service;
        point -= entry.weight;
    }
    return nullptr;
}

placement_context steering_engine::placementContextFor(const std::string& service, core::timestamp now)
{
    const auto rules = m_serviceRules.find(service);
    const bool isStartingUp = m_firstPacketAt && now - *m_firstPacketAt < m_options.startupPeriod;
    const std::size_t neighbours
        = isStartingUp ? std::max(m_neighbourCount, m_options.assumedNeighbours) : m_neighbourCount;
    const std::size_t reportingNeighbours = m_neighbourLoads.count();
    const std::size_t neighboursWithoutReport
        = isStartingUp && neighbours > reportingNeighbours ? neighbours - reportingNeighbours : 0;
    // In a small data centre, hosts receive each other's load reports before a request ends, and need no
    // limit of their own.
    const double ownFlowLimit = isStartingUp && m_areLoadsStale ? std::max(1.0, flowsAtOnce(service, now))
                                                                : std::numeric_limits<double>::infinity();
    return { m_options, m_servers.dataCentres(), m_dataCentresOut, m_dataCentreEvidence, m_remoteLoads,
        m_coldAdmission, rules == m_serviceRules.end() ? 0.0 : rules->second.coldFlowsPerSecond,
        m_hostPosition.index, m_hostPosition.count, m_areLoadsStale, neighbours, neighboursWithoutReport,
        ownFlowLimit, {}, now, establishedFlowCost(service, now) };
}

} // namespace shallotcove::steering
