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

    // As the platform's pages say of callers.
    constexpr std::chrono::milliseconds openingTimeout { 1400 };
    constexpr std::chrono::milliseconds firstRepeat { 200 };
    constexpr std::chrono::milliseconds longestRepeat { 1600 };
    constexpr int triesPerRequest = 3;
    constexpr std::chrono::milliseconds pauseBeforeTry { 20 };

    // A host's reset of an open flow counts only with a number this close to what the caller acknowledged
    // last.
    constexpr std::uint32_t resetWindow = 76800;

    // One request in so many must not run twice.
    constexpr std::uint32_t oneInUnrepeatable = 3;
    // One flow in so many stays open for further requests, with pauses between them.
    constexpr std::uint32_t oneInLong = 4;
    constexpr std::uint32_t mostFollowing = 5;
    constexpr std::uint32_t longestPauseMs = 1200;
    // Ports are used again after some minutes.
    constexpr std::uint16_t firstPort = 1024;

    steering::flow_address flowOf(const platform::testing::flow_segment& segment)
    {
        return { segment.destination.address, segment.source.address, segment.destination.port,
            segment.source.port };
    }

} // namespace

caller_fleet::caller_fleet(boost::asio::io_context& context, testbench::work_queue& work,
    promise_checker& checker, flow_router& router, const soak_network& network, std::uint64_t seed)
    : m_context(context)
    , m_work(work)
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
    m_work.runAfter(
        std::chrono::duration_cast<testbench::work_queue::clock::duration>(pause), [this, requestsPerSecond] {
            if (m_isStopped)
                return;
            const int following
                = m_random(oneInLong) == 0 ? 1 + static_cast<int>(m_random(mostFollowing)) : 0;
            open(
                m_random(static_cast<std::uint32_t>(m_callers.size())), m_route, newRequest(), following, "");
            scheduleRequest(requestsPerSecond);
        });
}

caller_fleet::request caller_fleet::newRequest()
{
    return { m_nextRequest++, m_random(oneInUnrepeatable) != 0, soakNow(), triesPerRequest };
}

void caller_fleet::probe(const std::string& host, const steering::route_address& route)
{
    request once = newRequest();
    once.triesLeft = 1;
    open(m_random(static_cast<std::uint32_t>(m_callers.size())), route, once, 0, host);
}

void caller_fleet::open(std::size_t callerIndex, const steering::route_address& route, const request& wanted,
    int following, std::string host)
{
    caller& from = m_callers[callerIndex];
    if (++from.nextPort == 0)
        from.nextPort = firstPort;
    const steering::flow_address flow { from.address, route.address, from.nextPort, route.port };
    calling_flow opened;
    opened.callerIndex = callerIndex;
    opened.host = std::move(host);
    opened.sequence = m_random();
    opened.startedAt = soakNow();
    opened.current = wanted;
    --opened.current.triesLeft;
    opened.following = following;
    const std::uint32_t sequence = opened.sequence;
    m_flows[flow] = std::move(opened);
    for (std::uint32_t copy = 0; copy < openingCopyAges.size(); ++copy)
        m_work.runAfter(
            openingCopyAges[copy], [this, flow, sequence, copy] { sendOpening(flow, sequence, copy); });
    m_work.runAfter(openingTimeout, [this, flow, sequence] {
        calling_flow* const known = find(flow, sequence);
        if (known != nullptr && !known->isOpen)
            tryAgain(flow, *known);
    });
}

caller_fleet::calling_flow* caller_fleet::find(const steering::flow_address& flow, std::uint32_t sequence)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() || found->second.sequence != sequence ? nullptr : &found->second;
}

void caller_fleet::sendOpening(const steering::flow_address& flow, std::uint32_t sequence, std::uint32_t copy)
{
    const calling_flow* const known = find(flow, sequence);
    if (known == nullptr || known->isOpen)
        return;
    flow_segment segment;
    segment.isOpening = true;
    segment.acknowledgement = copy;
    send(flow, *known, segment);
}

void caller_fleet::send(const steering::flow_address& flow, const calling_flow& known, flow_segment segment)
{
    segment.source = { flow.callerAddress, flow.callerPort };
    segment.destination = { flow.serviceAddress, flow.servicePort };
    segment.sequence = known.sequence;
    if (!segment.isOpening) {
        segment.sequence += 1 + known.sent;
        segment.isAcknowledging = true;
        segment.acknowledgement = known.serverSequence + 1 + known.received;
        segment.tag = known.tag;
    }
    const std::vector<std::byte> packet = platform::testing::encodeSegment(segment);
    if (known.host.empty())
        m_router.route(m_callers[known.callerIndex].dataCentre, flow, packet);
    else
        m_router.sendTo(known.host, packet);
}

void caller_fleet::handle(std::span<const std::byte> datagram, std::uint32_t from)
{
    const std::optional<flow_segment> segment = platform::testing::decodeSegment(datagram);
    if (!segment || m_network.isMute(from))
        return;
    const steering::flow_address flow = flowOf(*segment);
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    calling_flow& known = found->second;
    if (segment->isReset)
        return handleReset(flow, known, segment->sequence, from);
    if (segment->isOpening) {
        if (known.isOpen || segment->acknowledgement != known.sequence + 1)
            return;
        known.isOpen = true;
        known.serverSequence = segment->sequence;
        known.tag = segment->tag;
        send(flow, known, {});
        return sendRequest(flow, known.current.number, firstRepeat);
    }
    if (!known.isOpen || segment->sequence != known.serverSequence + 1 + known.received)
        return;
    const std::optional<request_payload> payload = decodePayload(segment->payload);
    if (!payload || payload->request != known.current.number || known.isAnswered)
        return;
    known.received += static_cast<std::uint32_t>(segment->payload.size());
    handleAnswer(flow, known, segment->isClosing);
}

void caller_fleet::sendRequest(
    const steering::flow_address& flow, std::uint64_t number, std::chrono::milliseconds interval)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.current.number != number || found->second.isAnswered)
        return;
    const calling_flow& known = found->second;
    if (soakNow() - known.current.startedAt > requestTimeout) {
        lose(flow, known);
        m_flows.erase(flow);
        return;
    }
    flow_segment segment;
    segment.payload = encodePayload({ number, known.current.isRepeatable });
    send(flow, known, std::move(segment));
    m_work.runAfter(interval,
        [this, flow, number, interval] { sendRequest(flow, number, std::min(2 * interval, longestRepeat)); });
}

void caller_fleet::handleReset(
    const steering::flow_address& flow, calling_flow& known, std::uint32_t sequence, std::uint32_t from)
{
    const std::string host = m_network.hostOf(from);
    const std::uint32_t acknowledged = known.serverSequence + 1 + known.received;
    const std::uint32_t distance = std::min(sequence - acknowledged, acknowledged - sequence);
    if (!host.empty() && known.isOpen && distance > resetWindow)
        return;
    if (!host.empty()) {
        ++m_refused;
        m_checker.recordRefusal(flow, known.current.number, host, known.startedAt, soakNow());
    }
    if (!known.isOpen || known.current.isRepeatable)
        return tryAgain(flow, known);
    lose(flow, known);
    m_flows.erase(flow);
}

void caller_fleet::handleAnswer(const steering::flow_address& flow, calling_flow& known, bool isClosing)
{
    known.isAnswered = true;
    if (known.host.empty()) {
        ++m_served;
        m_checker.recordRequest(flow, known.current.startedAt, soakNow(), true);
    }
    if (known.following == 0 || isClosing) {
        close(flow, known);
        return;
    }
    --known.following;
    m_work.runAfter(std::chrono::milliseconds { m_random(longestPauseMs) },
        [this, flow, former = known.current.number] { nextRequest(flow, former); });
}

void caller_fleet::nextRequest(const steering::flow_address& flow, std::uint64_t former)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.current.number != former)
        return;
    // All requests are of one size.
    found->second.sent += static_cast<std::uint32_t>(encodePayload({}).size());
    found->second.current = newRequest();
    found->second.isAnswered = false;
    sendRequest(flow, found->second.current.number, firstRepeat);
}

void caller_fleet::close(const steering::flow_address& flow, const calling_flow& known)
{
    flow_segment segment;
    segment.isClosing = true;
    m_checker.recordFlowEnd(flow);
    send(flow, known, segment);
    m_flows.erase(flow);
}

void caller_fleet::tryAgain(const steering::flow_address& flow, const calling_flow& known)
{
    const calling_flow former = known;
    m_checker.recordFlowEnd(flow);
    m_flows.erase(flow);
    if (former.isAnswered)
        return;
    if (former.current.triesLeft == 0 || soakNow() - former.current.startedAt > requestTimeout)
        return lose(flow, former);
    m_work.runAfter(pauseBeforeTry,
        [this, former] { open(former.callerIndex, m_route, former.current, former.following, former.host); });
}

void caller_fleet::lose(const steering::flow_address& flow, const calling_flow& known)
{
    // A request that is refused on a route of its own, or whose server was taken out, is not owed an answer.
    if (!known.host.empty() || (m_countsLoss && !m_countsLoss(flow)))
        return;
    ++m_lost;
    m_checker.recordRequest(flow, known.current.startedAt, soakNow(), false);
}

} // namespace shallotcove::soak
