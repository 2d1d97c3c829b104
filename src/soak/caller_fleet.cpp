#include "caller_fleet.hpp"

#include <algorithm>
#include <cmath>

#include "testbench/endpoints.hpp"

#include "flow_router.hpp"
#include "opening_copies.hpp"
#include "promise_checker.hpp"
#include "request_payload.hpp"
#include "soak_clock.hpp"
#include "soak_network.hpp"

namespace shallotcove::soak {

namespace {

    // Caller timing as documented by the platform.
    constexpr std::chrono::milliseconds openingTimeout { 1400 };
    constexpr std::chrono::milliseconds initialRetransmissionInterval { 200 };
    constexpr std::chrono::milliseconds maxRetransmissionInterval { 1600 };
    constexpr int attemptsPerRequest = 3;
    constexpr std::chrono::milliseconds retryDelay { 20 };

    // Callers accept a host's reset of an open flow only if its sequence number is within this distance of
    // the last acknowledged one.
    constexpr std::uint32_t resetWindow = 76800;

    // One request in this many is not idempotent and must not run twice.
    constexpr std::uint32_t oneInNonIdempotent = 3;
    // One flow in this many carries further requests, with pauses between them.
    constexpr std::uint32_t oneInPersistent = 4;
    constexpr std::uint32_t maxFollowingRequests = 5;
    constexpr std::uint32_t maxPauseMs = 1200;
    // Each caller cycles through its source ports, so a port is reused after some minutes.
    constexpr std::uint16_t firstPort = 1024;

    steering::flow_address flowOf(const platform::testing::flow_segment& segment)
    {
        return { segment.destination.address, segment.source.address, segment.destination.port,
            segment.source.port };
    }

} // namespace

caller_fleet::caller_fleet(boost::asio::io_context& context, testbench::timer_queue& timers,
    promise_checker& checker, flow_router& router, const soak_network& network, std::uint64_t seed)
    : m_context(context)
    , m_timers(timers)
    , m_checker(checker)
    , m_router(router)
    , m_network(network)
    , m_random(seed)
{
}

tl::expected<void, std::string> caller_fleet::addCaller(
    const core::socket_address& address, std::string dataCentre)
{
    tl::expected<std::unique_ptr<testbench::datagram_port>, std::string> port
        = testbench::datagram_port::create(m_context, address,
            [this](std::span<const std::byte> datagram, const testbench::datagram_port::endpoint& from) {
                handle(datagram, testbench::toAddress(from).address.toV4());
            });
    if (!port)
        return tl::unexpected(port.error());
    m_callers.push_back({ std::move(dataCentre), address.address.toV4(), std::move(*port), firstPort });
    return {};
}

void caller_fleet::start(double requestsPerSecond) { scheduleRequest(requestsPerSecond); }

void caller_fleet::scheduleRequest(double requestsPerSecond)
{
    const double uniform = (m_random() + 0.5) / 4294967296.0;
    const std::chrono::duration<double> pause { -std::log(uniform) / requestsPerSecond };
    m_timers.runAfter(std::chrono::duration_cast<testbench::timer_queue::clock::duration>(pause),
        [this, requestsPerSecond] {
            if (m_isStopped)
                return;
            const int followingRequests
                = m_random(oneInPersistent) == 0 ? 1 + static_cast<int>(m_random(maxFollowingRequests)) : 0;
            openFlow(m_random(static_cast<std::uint32_t>(m_callers.size())), m_route, createRequest(),
                followingRequests, "");
            scheduleRequest(requestsPerSecond);
        });
}

caller_fleet::request caller_fleet::createRequest()
{
    return { m_nextRequest++, m_random(oneInNonIdempotent) != 0, soakNow(), attemptsPerRequest };
}

void caller_fleet::probe(const std::string& host, const steering::route_address& route)
{
    request probeRequest = createRequest();
    probeRequest.attemptsLeft = 1;
    openFlow(m_random(static_cast<std::uint32_t>(m_callers.size())), route, probeRequest, 0, host);
}

void caller_fleet::openFlow(std::size_t callerIndex, const steering::route_address& route,
    const request& initialRequest, int followingRequests, std::string host)
{
    caller& from = m_callers[callerIndex];
    if (++from.nextPort == 0)
        from.nextPort = firstPort;
    const steering::flow_address flow { from.address, route.address, from.nextPort, route.port };
    flow_state newFlow;
    newFlow.callerIndex = callerIndex;
    newFlow.host = std::move(host);
    newFlow.sequence = m_random();
    newFlow.startedAt = soakNow();
    newFlow.current = initialRequest;
    --newFlow.current.attemptsLeft;
    newFlow.followingRequests = followingRequests;
    const std::uint32_t sequence = newFlow.sequence;
    m_flows[flow] = std::move(newFlow);
    for (std::uint32_t copy = 0; copy < openingCopyAges.size(); ++copy)
        m_timers.runAfter(
            openingCopyAges[copy], [this, flow, sequence, copy] { sendOpeningPacket(flow, sequence, copy); });
    m_timers.runAfter(openingTimeout, [this, flow, sequence] {
        flow_state* const state = find(flow, sequence);
        if (state != nullptr && !state->isOpen)
            retry(flow, *state);
    });
}

caller_fleet::flow_state* caller_fleet::find(const steering::flow_address& flow, std::uint32_t sequence)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() || found->second.sequence != sequence ? nullptr : &found->second;
}

void caller_fleet::sendOpeningPacket(
    const steering::flow_address& flow, std::uint32_t sequence, std::uint32_t copy)
{
    const flow_state* const state = find(flow, sequence);
    if (state == nullptr || state->isOpen)
        return;
    flow_segment segment;
    segment.isOpening = true;
    segment.acknowledgement = copy;
    send(flow, *state, segment);
}

void caller_fleet::send(const steering::flow_address& flow, const flow_state& state, flow_segment segment)
{
    segment.source = { flow.callerAddress, flow.callerPort };
    segment.destination = { flow.serviceAddress, flow.servicePort };
    segment.sequence = state.sequence;
    if (!segment.isOpening) {
        segment.sequence += 1 + state.sent;
        segment.isAcknowledging = true;
        segment.acknowledgement = state.serverSequence + 1 + state.received;
        segment.tag = state.tag;
    }
    const std::vector<std::byte> packet = platform::testing::encodeSegment(segment);
    if (state.host.empty())
        m_router.route(m_callers[state.callerIndex].dataCentre, flow, packet);
    else
        m_router.sendTo(state.host, packet);
}

void caller_fleet::handle(std::span<const std::byte> datagram, std::uint32_t from)
{
    const std::optional<flow_segment> segment = platform::testing::decodeSegment(datagram);
    if (!segment || m_network.isOutputDropped(from))
        return;
    const steering::flow_address flow = flowOf(*segment);
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    flow_state& state = found->second;
    if (segment->isReset)
        return handleReset(flow, state, segment->sequence, from);
    if (segment->isOpening) {
        if (state.isOpen || segment->acknowledgement != state.sequence + 1)
            return;
        state.isOpen = true;
        state.serverSequence = segment->sequence;
        state.tag = segment->tag;
        send(flow, state, {});
        return sendRequest(flow, state.current.number, initialRetransmissionInterval);
    }
    if (!state.isOpen || segment->sequence != state.serverSequence + 1 + state.received)
        return;
    const std::optional<request_payload> payload = decodePayload(segment->payload);
    if (!payload || payload->request != state.current.number || state.isResponseReceived)
        return;
    state.received += static_cast<std::uint32_t>(segment->payload.size());
    handleResponse(flow, state, segment->isClosing);
}

void caller_fleet::sendRequest(
    const steering::flow_address& flow, std::uint64_t number, std::chrono::milliseconds interval)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.current.number != number || found->second.isResponseReceived)
        return;
    const flow_state& state = found->second;
    if (soakNow() - state.current.startedAt > requestTimeout) {
        recordLostRequest(flow, state);
        m_flows.erase(flow);
        return;
    }
    flow_segment segment;
    segment.payload = encodePayload({ number, state.current.isIdempotent });
    send(flow, state, std::move(segment));
    m_timers.runAfter(interval, [this, flow, number, interval] {
        sendRequest(flow, number, std::min(2 * interval, maxRetransmissionInterval));
    });
}

void caller_fleet::handleReset(
    const steering::flow_address& flow, flow_state& state, std::uint32_t sequence, std::uint32_t from)
{
    const std::string host = m_network.hostOf(from);
    const std::uint32_t acknowledged = state.serverSequence + 1 + state.received;
    const std::uint32_t distance = std::min(sequence - acknowledged, acknowledged - sequence);
    if (!host.empty() && state.isOpen && distance > resetWindow)
        return;
    if (!host.empty()) {
        ++m_refused;
        m_checker.recordRefusal(flow, state.current.number, host, state.startedAt, soakNow());
    }
    if (!state.isOpen || state.current.isIdempotent)
        return retry(flow, state);
    recordLostRequest(flow, state);
    m_flows.erase(flow);
}

void caller_fleet::handleResponse(const steering::flow_address& flow, flow_state& state, bool isClosing)
{
    state.isResponseReceived = true;
    if (state.host.empty()) {
        ++m_served;
        m_checker.recordRequestOutcome(flow, state.current.startedAt, soakNow(), true);
    }
    if (state.followingRequests == 0 || isClosing) {
        close(flow, state);
        return;
    }
    --state.followingRequests;
    m_timers.runAfter(std::chrono::milliseconds { m_random(maxPauseMs) },
        [this, flow, previous = state.current.number] { nextRequest(flow, previous); });
}

void caller_fleet::nextRequest(const steering::flow_address& flow, std::uint64_t previous)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.current.number != previous)
        return;
    // All requests have the same encoded size.
    found->second.sent += static_cast<std::uint32_t>(encodePayload({}).size());
    found->second.current = createRequest();
    found->second.isResponseReceived = false;
    sendRequest(flow, found->second.current.number, initialRetransmissionInterval);
}

void caller_fleet::close(const steering::flow_address& flow, const flow_state& state)
{
    flow_segment segment;
    segment.isClosing = true;
    m_checker.recordFlowEnd(flow);
    send(flow, state, segment);
    m_flows.erase(flow);
}

void caller_fleet::retry(const steering::flow_address& flow, const flow_state& state)
{
    const flow_state previous = state;
    m_checker.recordFlowEnd(flow);
    m_flows.erase(flow);
    if (previous.isResponseReceived)
        return;
    if (previous.current.attemptsLeft == 0 || soakNow() - previous.current.startedAt > requestTimeout)
        return recordLostRequest(flow, previous);
    m_timers.runAfter(retryDelay, [this, previous] {
        openFlow(previous.callerIndex, m_route, previous.current, previous.followingRequests, previous.host);
    });
}

void caller_fleet::recordLostRequest(const steering::flow_address& flow, const flow_state& state)
{
    // Probe requests, and requests whose server was taken out, need not be answered.
    if (!state.host.empty() || (m_lossFilter && !m_lossFilter(flow)))
        return;
    ++m_lost;
    m_checker.recordRequestOutcome(flow, state.current.startedAt, soakNow(), false);
}

} // namespace shallotcove::soak
