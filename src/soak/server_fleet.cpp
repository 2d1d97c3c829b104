#include "server_fleet.hpp"

#include <algorithm>

#include "testbench/endpoints.hpp"

#include <platform/packet_layout.hpp>

#include "opening_copies.hpp"
#include "promise_checker.hpp"
#include "request_payload.hpp"
#include "soak_clock.hpp"
#include "soak_network.hpp"

namespace shallotcove::soak {

namespace {

    // Processing time of a request: about 40 ms on average, as in the users' deployments.
    constexpr std::uint32_t minProcessingMs = 15;
    constexpr std::uint32_t processingSpreadMs = 50;

    std::chrono::milliseconds ageOf(std::uint32_t copy)
    {
        return openingCopyAges[std::min<std::size_t>(copy, openingCopyAges.size() - 1)];
    }

    steering::flow_address flowOf(const platform::testing::flow_segment& segment)
    {
        return { segment.source.address, segment.destination.address, segment.source.port,
            segment.destination.port };
    }

} // namespace

server_fleet::server_fleet(boost::asio::io_context& context, testbench::timer_queue& timers,
    promise_checker& checker, const soak_network& network, std::uint64_t seed)
    : m_context(context)
    , m_timers(timers)
    , m_checker(checker)
    , m_network(network)
    , m_random(seed)
{
}

tl::expected<void, std::string> server_fleet::addAddress(const core::socket_address& address)
{
    tl::expected<std::unique_ptr<testbench::datagram_port>, std::string> port
        = testbench::datagram_port::create(m_context, address,
            [this, address](
                std::span<const std::byte> datagram, const testbench::datagram_port::endpoint& from) {
                handle(address, datagram, testbench::toAddress(from).address.toV4());
            });
    if (!port)
        return tl::unexpected(port.error());
    m_ports[address] = std::move(*port);
    return {};
}

void server_fleet::start(const steering::server_entry& entry)
{
    m_servers[entry.id] = { entry, m_ports.at(entry.address).get(), {}, {}, 0 };
}

void server_fleet::drain(const std::string& server)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.entry.state = steering::server_state::Draining;
}

void server_fleet::terminate(const std::string& server)
{
    m_checker.recordServerEnd(server);
    m_servers.erase(server);
}

std::vector<std::string> server_fleet::readyServers(const std::string& service) const
{
    std::vector<std::string> servers;
    for (const auto& [id, server] : m_servers) {
        if (server.entry.service == service && server.entry.state == steering::server_state::Ready)
            servers.push_back(id);
    }
    return servers;
}

const steering::server_entry* server_fleet::find(const std::string& server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second.entry;
}

server_fleet::running_server* server_fleet::serverAt(const core::socket_address& address)
{
    const auto found = std::find_if(m_servers.begin(), m_servers.end(),
        [&address](const auto& entry) { return entry.second.entry.address == address; });
    return found == m_servers.end() ? nullptr : &found->second;
}

void server_fleet::handle(
    const core::socket_address& localAddress, std::span<const std::byte> datagram, std::uint32_t from)
{
    running_server* const server = serverAt(localAddress);
    if (server == nullptr || !m_network.canReach(from, server->entry.dataCentre))
        return;
    const std::string host = m_network.hostOf(from);
    const std::optional<flow_segment> segment = datagram.size() < platform::serverPrefixBytes
        ? std::nullopt
        : platform::testing::decodeSegment(datagram.subspan(platform::serverPrefixBytes));
    const bool isIntact = segment && segment->isIntact && !segment->isReset
        && !(segment->isOpening && segment->isAcknowledging);
    m_checker.recordDatagramArrival(isIntact, server->entry.id, host, soakNow());
    if (!isIntact)
        return;
    const std::uint64_t intendedWireId = platform::testing::readServerPrefix(datagram);
    if (intendedWireId == 0 || intendedWireId == server->entry.wireId)
        handleSegment(*server, *segment, host);
}

void server_fleet::handleSegment(running_server& server, const flow_segment& segment, const std::string& host)
{
    const steering::flow_address flow = flowOf(segment);
    if (segment.isOpening)
        return openFlow(server, segment, flow, host);
    m_checker.recordPacket(flow, server.entry.id, soakNow());
    const auto found = server.flows.find(flow);
    const bool hasFlow = found != server.flows.end()
        && (found->second.isOpen || segment.acknowledgement == found->second.sequence + 1);
    if (!hasFlow) {
        if (!segment.isClosing)
            sendReset(server, flow);
        return;
    }
    served_flow& state = found->second;
    state.tag = segment.tag;
    if (!std::exchange(state.isOpen, true))
        m_checker.recordFlowOpen(flow, server.entry.id);
    if (!segment.payload.empty())
        handleRequest(server, state, segment, flow);
    if (segment.isClosing) {
        reply(server, flow, state, false, true);
        m_checker.recordFlowEnd(flow);
        server.flows.erase(flow);
    }
}

void server_fleet::openFlow(running_server& server, const flow_segment& segment,
    const steering::flow_address& flow, const std::string& host)
{
    const auto found = server.flows.find(flow);
    if (found != server.flows.end() && found->second.callerSequence == segment.sequence)
        return found->second.isOpen ? void() : reply(server, flow, found->second, true, false);
    const core::timestamp now = soakNow();
    m_checker.recordOpeningPacket(flow, server.entry.id, host, now - ageOf(segment.acknowledgement), now);
    served_flow& state = server.flows[flow];
    state = { m_random(), segment.sequence, segment.tag, false, 0, {}, 0, 0 };
    reply(server, flow, state, true, false);
}

void server_fleet::handleRequest(running_server& server, served_flow& state, const flow_segment& segment,
    const steering::flow_address& flow)
{
    const std::optional<request_payload> payload = decodePayload(segment.payload);
    if (!payload)
        return;
    if (payload->request == state.request) {
        if (!state.response.empty())
            reply(server, flow, state, false, false);
        return;
    }
    // Ignores a late retransmission of a previous request.
    if (segment.sequence != state.callerSequence + 1 + state.received)
        return;
    state.request = payload->request;
    state.received += static_cast<std::uint32_t>(segment.payload.size());
    state.sent += static_cast<std::uint32_t>(state.response.size());
    state.response.clear();
    server.queue.push_back({ flow, payload->request });
    m_checker.recordRequestRun(payload->request, flow, payload->isIdempotent, soakNow());
    processQueue(server.entry.id);
}

void server_fleet::processQueue(const std::string& server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    running_server& state = found->second;
    while (state.busySlots < state.entry.slots && !state.queue.empty()) {
        const queued_request item = state.queue.front();
        state.queue.pop_front();
        ++state.busySlots;
        m_timers.runAfter(std::chrono::milliseconds { minProcessingMs + m_random(processingSpreadMs) },
            [this, server, item] { finishRequest(server, item); });
    }
}

void server_fleet::finishRequest(const std::string& server, const queued_request& item)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    running_server& state = found->second;
    --state.busySlots;
    const auto flow = state.flows.find(item.flow);
    if (flow != state.flows.end() && flow->second.request == item.request) {
        flow->second.response = encodePayload({ item.request, true });
        reply(state, item.flow, flow->second, false, false);
    }
    processQueue(server);
}

void server_fleet::reply(running_server& server, const steering::flow_address& flow, const served_flow& state,
    bool isOpening, bool isClosing)
{
    flow_segment segment;
    segment.source = { flow.serviceAddress, flow.servicePort };
    segment.destination = { flow.callerAddress, flow.callerPort };
    segment.isOpening = isOpening;
    segment.isAcknowledging = true;
    // A draining server closes a flow with its next response.
    segment.isClosing = isClosing
        || (!isOpening && !state.response.empty() && server.entry.state == steering::server_state::Draining);
    segment.sequence = isOpening ? state.sequence : state.sequence + 1 + state.sent;
    segment.acknowledgement = state.callerSequence + 1 + state.received;
    segment.tag = state.tag;
    if (!isOpening && !isClosing)
        segment.payload = state.response;
    send(server, segment);
}

void server_fleet::sendReset(running_server& server, const steering::flow_address& flow)
{
    flow_segment segment;
    segment.source = { flow.serviceAddress, flow.servicePort };
    segment.destination = { flow.callerAddress, flow.callerPort };
    segment.isReset = true;
    m_checker.recordUnknownFlowReset(flow, server.entry.id, soakNow());
    send(server, segment);
}

void server_fleet::send(running_server& server, const flow_segment& segment)
{
    const core::socket_address to { core::ip_address::fromV4(segment.destination.address), m_callerPort };
    server.port->send(platform::testing::encodeSegment(segment), testbench::toUdpEndpoint(to));
}

} // namespace shallotcove::soak
