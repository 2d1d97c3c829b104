#include <shallotcove/steering/steering_engine.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace shallotcove::steering {

namespace {

    // Cost of an established flow before its request rate is known, and of flows with few requests. Above 0,
    // so that flows are spread evenly while no requests are in progress.
    constexpr double minimumEstablishedFlowCost = 0.003;

} // namespace

bool steering_engine::isBehindHeldPackets(const caller_packet& packet) const
{
    // Acknowledgements have no place in the order of the payload, and the server may be waiting for them.
    return m_heldRequests.contains(packet.flow)
        && (packet.payloadBytes > 0 || packet.isClosing || packet.isReset);
}

packet_decision steering_engine::handleHeldFlow(const caller_packet& packet)
{
    if (m_heldRequests.containsCopyOf(packet))
        return { packet_action::Drop, packet_reason::HeldCopy, {}, {}, {} };
    m_heldRequests.queue(packet);
    // A flow that its caller ends is not worth waiting for.
    if (packet.isClosing || packet.isReset)
        m_heldRequests.flush(packet.flow);
    return { packet_action::Hold, packet_reason::None, {}, {}, {} };
}

bool steering_engine::mustHold(
    const caller_packet& packet, const flow_record& record, const route& target, core::timestamp now) const
{
    if (!record.hadRequest || packet.isClosing || packet.isReset || !m_heldRequests.isEnabled())
        return false;
    const server_record* const server = m_servers.find(record.server);
    return server != nullptr && hasLongFlows(server->entry.service, now)
        && m_admissionPolicy.longestHold(server->entry.service, target, m_options, now)
        > core::duration::zero()
        && (!hasRoom(packet.flow, record.server, now)
            || m_heldRequests.hasEarlier(record.server, target.priority));
}

bool steering_engine::tryHold(const caller_packet& packet, const flow_record& record, core::timestamp now)
{
    const route* const target = findRoute(packet.flow);
    if (target == nullptr || !mustHold(packet, record, *target, now))
        return false;
    if (!m_heldRequests.canHold(packet)) {
        m_heldRequests.flushAll();
        return false;
    }
    const server_record* const server = m_servers.find(record.server);
    m_heldRequests.hold(packet, record.server, target->priority,
        m_admissionPolicy.longestHold(server->entry.service, *target, m_options, now), now);
    return true;
}

double steering_engine::requestLimit(
    const route& target, const server_record& server, core::timestamp now) const
{
    return m_admissionPolicy.limitForRequest(server.entry.service, target, m_options, now);
}

bool steering_engine::hasRoom(const flow_address& flow, server_tag tag, core::timestamp now) const
{
    const server_record* const server = m_servers.find(tag);
    const route* const target = findRoute(flow);
    if (server == nullptr || target == nullptr)
        return true;
    const double flows = server->openFlows + server->neighbourFlows + server->remoteFlows;
    return flows < requestLimit(*target, *server, now) * std::max(1U, server->entry.slots);
}

std::vector<released_flow> steering_engine::makeRoomFor(const caller_packet& packet, core::timestamp now)
{
    if (!isBehindHeldPackets(packet) || m_heldRequests.canHold(packet)
        || m_heldRequests.containsCopyOf(packet))
        return {};
    m_heldRequests.flushAll();
    return releaseRequests(now);
}

std::vector<released_flow> steering_engine::releaseRequests(core::timestamp now)
{
    std::vector<released_flow> released;
    held_requests::release_pass pass;
    const held_requests::room_test hasRoomFor
        = [this, now](const held_flow& flow) { return hasRoom(flow.packets.front().flow, flow.server, now); };
    // Each released request counts as load of its server before the next one is examined.
    while (const std::optional<held_requests::taken_flow> taken
        = m_heldRequests.takeNext(hasRoomFor, pass, now)) {
        released.push_back({ taken->flow.packets.front().flow, taken->end, release(taken->flow, now) });
    }
    return released;
}

std::vector<packet_decision> steering_engine::release(const held_flow& flow, core::timestamp now)
{
    std::vector<packet_decision> decisions;
    decisions.reserve(flow.packets.size());
    for (const caller_packet& packet : flow.packets)
        decisions.push_back(handle(packet, hold_permission::Release, now));
    return decisions;
}

void steering_engine::addToEstablished(flow_record& record)
{
    server_record* const server = m_servers.find(record.server);
    if (server == nullptr || std::exchange(record.isEstablished, true))
        return;
    ++server->establishedFlows;
    const auto rate = m_requestRates.find(server->entry.service);
    if (rate != m_requestRates.end())
        rate->second.recordFlow();
}

void steering_engine::removeFromEstablished(flow_record& record)
{
    if (!std::exchange(record.isEstablished, false))
        return;
    server_record* const server = m_servers.find(record.server);
    if (server != nullptr && server->establishedFlows > 0)
        --server->establishedFlows;
}

void steering_engine::forgetEstablishedFlows(server_tag tag)
{
    m_trackedFlows.forEach([this, tag](flow_record& record) {
        if (record.server == tag)
            removeFromEstablished(record);
    });
}

void steering_engine::expireServers(core::timestamp now)
{
    const std::size_t formerCount = m_servers.all().size();
    m_servers.expire(now);
    removeFlowsOfReassignedTags();
    if (m_servers.all().size() == formerCount)
        return;
    // If a server of the same id is listed again, it starts with a new record.
    m_trackedFlows.forEach([this](flow_record& record) {
        if (m_servers.find(record.server) == nullptr)
            record.isEstablished = false;
    });
}

void steering_engine::measureRequestRates(core::timestamp now)
{
    for (auto& [service, rate] : m_requestRates) {
        double flows = 0;
        for (const server_record* const server : m_servers.serversOf(service))
            flows += server->establishedFlows;
        rate.advance(flows, now);
    }
}

double steering_engine::establishedFlowCost(const std::string& service, core::timestamp now) const
{
    const auto rate = m_requestRates.find(service);
    if (!hasLongFlows(service, now) || rate == m_requestRates.end())
        return 0;
    const auto waiting = m_waitingFlows.find(service);
    const core::duration serviceTime
        = waiting == m_waitingFlows.end() ? m_options.firstServiceTime : waiting->second.serviceTime();
    const double expectedLoad
        = rate->second.perSecondAndFlow() * std::chrono::duration<double> { serviceTime }.count();
    // Each further request of the new flow meets this load, while those in progress now only delay its first.
    return std::max(rate->second.perLifetime() * expectedLoad, minimumEstablishedFlowCost);
}

} // namespace shallotcove::steering
