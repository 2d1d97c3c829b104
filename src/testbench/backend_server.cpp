#include "backend_server.hpp"

#include <algorithm>
#include <cmath>

#include "shared_backend_state.hpp"

namespace shallotcove::testbench {

namespace {

    constexpr std::size_t maximumPayloadBytes = 1200;
    // The capacity of a cold server grows by this factor every warmUpStepSeconds.
    constexpr double warmUpFactor = 1.5;
    constexpr double warmUpStepSeconds = 2;
    constexpr std::uint32_t initialSequence = 1000;
    // Closed flows are kept for this time, because packets of a flow may pass different hosts and arrive out
    // of order.
    constexpr std::chrono::seconds closedFlowRetention { 10 };

} // namespace

backend_server::backend_server(const backend_server_options& options, std::uint32_t number,
    shared_backend_state& sharedState, timer_queue& timers, sender send)
    : m_options(options)
    , m_number(number)
    , m_sharedState(sharedState)
    , m_timers(timers)
    , m_send(std::move(send))
    , m_slotFree(std::max<std::uint32_t>(options.slots, 1))
{
    if (options.startsCold)
        resetWarmUp();
}

void backend_server::resetWarmUp()
{
    m_isCold = true;
    m_warmUpStart.reset();
}

double backend_server::newFlowCapacity(clock::time_point now) const
{
    const double warm = m_options.newFlowsPerSecond;
    if (!m_isCold)
        return warm;
    const double seconds = m_warmUpStart ? std::chrono::duration<double>(now - *m_warmUpStart).count() : 0;
    return std::min(
        warm, m_options.coldNewFlowsPerSecond * std::pow(warmUpFactor, seconds / warmUpStepSeconds));
}

void backend_server::receive(std::span<const std::byte> inner, clock::time_point now)
{
    ++m_counters.packets;
    m_counters.lastPacket = std::chrono::system_clock::now();
    const tl::expected<wire::parsed_segment, wire::packet_error> parsed = wire::parseSegment(inner);
    if (!parsed || !wire::isTransportChecksumValid(inner)) {
        ++m_counters.malformedPackets;
        return;
    }
    const wire::segment& packet = parsed->segment;
    if (packet.destination != m_options.serviceAddress || packet.protocol != m_options.protocol) {
        ++m_counters.wrongServicePackets;
        return;
    }
    const core::flow_key flow { packet.source, packet.destination, packet.protocol };
    if (packet.protocol == core::transport::Tcp)
        receiveTcp(flow, packet, now);
    else
        receiveDatagram(flow, packet, now);
}

void backend_server::receiveTcp(
    const core::flow_key& flow, const wire::segment& packet, clock::time_point now)
{
    const bool isFirstPacket = (packet.flags & (wire::tcpSyn | wire::tcpAck)) == wire::tcpSyn;
    const auto found = m_flows.find(flow);
    if (isFirstPacket) {
        receiveFirstPacket(flow, packet, now);
        return;
    }
    if (found == m_flows.end()) {
        receiveUnknownFlow(flow, packet);
        return;
    }
    if ((packet.flags & (wire::tcpFin | wire::tcpRst)) != 0)
        close(flow, found->second, packet);
    else if (!packet.payload.empty() && !found->second.isClosed)
        receiveData(flow, found->second, packet, now);
}

void backend_server::receiveFirstPacket(
    const core::flow_key& flow, const wire::segment& packet, clock::time_point now)
{
    const std::optional<std::uint32_t> port = parseNumber(packet.payload);
    if (!port) {
        ++m_counters.malformedPackets;
        return;
    }
    m_sharedState.setResponsePort(flow.caller.address, static_cast<std::uint16_t>(*port));
    const auto found = m_flows.find(flow);
    const bool isOpen = found != m_flows.end() && !found->second.isClosed;
    const bool isRetransmission = found != m_flows.end() && found->second.firstSequence == packet.sequence;
    if (isRetransmission)
        ++m_counters.retransmittedFirstPackets;
    else if (!admit(now))
        return;
    flow_state& state = m_flows[flow];
    if (!isRetransmission) {
        m_openFlows += isOpen ? 0 : 1;
        const std::uint32_t next = packet.sequence + 1 + static_cast<std::uint32_t>(packet.payload.size());
        state
            = { next, packet.sequence, initialSequence + 1 + sizeof m_number, {}, 0, 0, false, false, false };
        m_sharedState.openFlow(flow, m_number);
    }
    sendSegment(
        flow, initialSequence, state.receiveNext, wire::tcpSyn | wire::tcpAck, formatNumber(m_number));
}

bool backend_server::admit(clock::time_point now)
{
    if (m_isCold && !m_warmUpStart)
        m_warmUpStart = now;
    while (!m_recentFlows.empty() && m_recentFlows.front() + std::chrono::seconds { 1 } <= now)
        m_recentFlows.pop_front();
    m_recentFlows.push_back(now);
    const double capacity = newFlowCapacity(now);
    const double load = static_cast<double>(m_recentFlows.size()) / capacity;
    m_counters.peakLoadPercent
        = std::max(m_counters.peakLoadPercent, static_cast<std::uint32_t>(std::lround(100 * load)));
    if (load > 1) {
        ++m_counters.excessFlows;
        return false;
    }
    ++m_counters.newFlows;
    ++m_counters.flowsSinceMark;
    return true;
}

void backend_server::receiveUnknownFlow(const core::flow_key& flow, const wire::segment& packet)
{
    // A reset needs no response.
    if ((packet.flags & wire::tcpRst) != 0)
        return;
    ++m_counters.unknownFlowPackets;
    if (m_sharedState.serverOf(flow))
        ++m_counters.movedFlowPackets;
    sendSegment(flow, packet.acknowledgement, 0, wire::tcpRst);
}

void backend_server::receiveData(
    const core::flow_key& flow, flow_state& state, const wire::segment& packet, clock::time_point now)
{
    if (packet.sequence != state.receiveNext) {
        if (state.isResponseReady && packet.sequence == state.lastRequestSequence)
            sendResponse(flow, state);
        return;
    }
    const std::optional<request> parsed = parseRequest(packet.payload);
    if (!parsed || state.isRunning) {
        ++m_counters.malformedPackets;
        return;
    }
    state.lastRequestSequence = packet.sequence;
    state.receiveNext += static_cast<std::uint32_t>(packet.payload.size());
    state.lastRequest = *parsed;
    state.isResponseReady = false;
    state.isRunning = true;
    const std::uint32_t first = state.firstSequence;
    runRequest(*parsed, now, [this, flow, first] {
        const auto found = m_flows.find(flow);
        if (found == m_flows.end() || found->second.firstSequence != first)
            return;
        flow_state& finished = found->second;
        finished.isRunning = false;
        finished.isResponseReady = true;
        finished.lastResponseSequence = finished.sendNext;
        finished.sendNext
            += static_cast<std::uint32_t>(responseHeaderBytes + finished.lastRequest.responseBytes);
        sendResponse(flow, finished);
    });
}

void backend_server::receiveDatagram(
    const core::flow_key& flow, const wire::segment& packet, clock::time_point now)
{
    const std::optional<request> parsed = parseRequest(packet.payload);
    if (!parsed) {
        ++m_counters.malformedPackets;
        return;
    }
    m_sharedState.setResponsePort(flow.caller.address, parsed->responsePort);
    const std::optional<std::uint32_t> owner = m_sharedState.serverOf(flow);
    if (!owner) {
        if (!admit(now))
            return;
        m_sharedState.openFlow(flow, m_number);
    } else if (*owner != m_number) {
        ++m_counters.unknownFlowPackets;
        ++m_counters.movedFlowPackets;
    }
    runRequest(*parsed, now, [this, flow, received = *parsed] {
        const std::vector<std::byte> response = formatResponse(received, m_number);
        m_send({ flow.service, flow.caller, flow.protocol, 0, 0, 0, response });
    });
}

void backend_server::close(const core::flow_key& flow, flow_state& state, const wire::segment& packet)
{
    if ((packet.flags & wire::tcpFin) != 0)
        sendSegment(flow, state.sendNext, packet.sequence + 1, wire::tcpFin | wire::tcpAck);
    if (std::exchange(state.isClosed, true))
        return;
    --m_openFlows;
    m_sharedState.closeFlow(flow);
    m_timers.runAfter(closedFlowRetention, [this, flow, first = state.firstSequence] {
        const auto found = m_flows.find(flow);
        if (found != m_flows.end() && found->second.isClosed && found->second.firstSequence == first)
            m_flows.erase(found);
    });
}

void backend_server::runRequest(
    const request& parsed, clock::time_point now, std::function<void()> onFinished)
{
    ++m_counters.requests;
    if (parsed.runsOnce)
        m_sharedState.recordRun(parsed.id);
    clock::time_point& slot = *std::min_element(m_slotFree.begin(), m_slotFree.end());
    slot = std::max(slot, now) + m_options.requestTime;
    m_timers.runAt(slot, std::move(onFinished));
}

void backend_server::sendResponse(const core::flow_key& flow, const flow_state& state)
{
    const std::vector<std::byte> response = formatResponse(state.lastRequest, m_number);
    for (std::size_t offset = 0; offset < response.size(); offset += maximumPayloadBytes) {
        const std::size_t size = std::min(maximumPayloadBytes, response.size() - offset);
        sendSegment(flow, state.lastResponseSequence + static_cast<std::uint32_t>(offset), state.receiveNext,
            wire::tcpPsh | wire::tcpAck, std::span { response }.subspan(offset, size));
    }
}

void backend_server::sendSegment(const core::flow_key& flow, std::uint32_t sequence,
    std::uint32_t acknowledgement, std::uint8_t flags, std::span<const std::byte> payload)
{
    m_send({ flow.service, flow.caller, flow.protocol, sequence, acknowledgement, flags, payload });
}

} // namespace shallotcove::testbench
