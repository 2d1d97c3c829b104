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

    // Work of a request, in milliseconds; some forty as on the users' deployments.
    constexpr std::uint32_t leastWorkMs = 15;
    constexpr std::uint32_t workSpreadMs = 50;

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

server_fleet::server_fleet(boost::asio::io_context& context, testbench::work_queue& work,
    promise_checker& checker, const soak_network& network, std::uint64_t seed)
    : m_context(context)
    , m_work(work)
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

void server_fleet::end(const std::string& server)
{
    m_checker.recordServerEnd(server);
    m_servers.erase(server);
}

std::vector<std::string> server_fleet::living(const std::string& service) const
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

server_fleet::living_server* server_fleet::serverAt(const core::socket_address& address)
{
    const auto found = std::find_if(m_servers.begin(), m_servers.end(),
        [&address](const auto& known) { return known.second.entry.address == address; });
    return found == m_servers.end() ? nullptr : &found->second;
}

void server_fleet::handle(
    const core::socket_address& own, std::span<const std::byte> datagram, std::uint32_t from)
{
    living_server* const server = serverAt(own);
    if (server == nullptr || !m_network.reaches(from, server->entry.dataCentre))
        return;
    const std::string host = m_network.hostOf(from);
    const std::optional<flow_segment> segment = datagram.size() < platform::serverPrefixBytes
        ? std::nullopt
        : platform::testing::decodeSegment(datagram.subspan(platform::serverPrefixBytes));
    const bool isIntact = segment && segment->isIntact && !segment->isReset
        && !(segment->isOpening && segment->isAcknowledging);
    m_checker.recordArrival(isIntact, server->entry.id, host, soakNow());
    if (!isIntact)
        return;
    const std::uint64_t meant = platform::testing::readServerPrefix(datagram);
    if (meant == 0 || meant == server->entry.wireId)
        handleSegment(*server, *segment, host);
}

void server_fleet::handleSegment(living_server& server, const flow_segment& segment, const std::string& host)
{
    const steering::flow_address flow = flowOf(segment);
    if (segment.isOpening)
        return openFlow(server, segment, flow, host);
    m_checker.recordPacket(flow, server.entry.id, soakNow());
    const auto found = server.flows.find(flow);
    const bool isHeld = found != server.flows.end()
        && (found->second.isOpen || segment.acknowledgement == found->second.sequence + 1);
    if (!isHeld) {
        if (!segment.isClosing)
            reset(server, flow);
        return;
    }
    served_flow& known = found->second;
    known.tag = segment.tag;
    if (!std::exchange(known.isOpen, true))
        m_checker.recordFlowOpen(flow, server.entry.id);
    if (!segment.payload.empty())
        takeRequest(server, known, segment, flow);
    if (segment.isClosing) {
        reply(server, flow, known, false, true);
        m_checker.recordFlowEnd(flow);
        server.flows.erase(flow);
    }
}

void server_fleet::openFlow(living_server& server, const flow_segment& segment,
    const steering::flow_address& flow, const std::string& host)
{
    const auto found = server.flows.find(flow);
    if (found != server.flows.end() && found->second.callerSequence == segment.sequence)
        return found->second.isOpen ? void() : reply(server, flow, found->second, true, false);
    const core::timestamp now = soakNow();
    m_checker.recordOpening(flow, server.entry.id, host, now - ageOf(segment.acknowledgement), now);
    served_flow& known = server.flows[flow];
    known = { m_random(), segment.sequence, segment.tag, false, 0, {}, 0, 0 };
    reply(server, flow, known, true, false);
}

void server_fleet::takeRequest(living_server& server, served_flow& known, const flow_segment& segment,
    const steering::flow_address& flow)
{
    const std::optional<request_payload> payload = decodePayload(segment.payload);
    if (!payload)
        return;
    if (payload->request == known.request) {
        if (!known.answer.empty())
            reply(server, flow, known, false, false);
        return;
    }
    // A late copy of a former request.
    if (segment.sequence != known.callerSequence + 1 + known.received)
        return;
    known.request = payload->request;
    known.received += static_cast<std::uint32_t>(segment.payload.size());
    known.sent += static_cast<std::uint32_t>(known.answer.size());
    known.answer.clear();
    server.queue.push_back({ flow, payload->request });
    m_checker.recordRun(payload->request, flow, payload->isRepeatable, soakNow());
    work(server.entry.id);
}

void server_fleet::work(const std::string& server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    living_server& known = found->second;
    while (known.busy < known.entry.slots && !known.queue.empty()) {
        const work_item item = known.queue.front();
        known.queue.pop_front();
        ++known.busy;
        m_work.runAfter(std::chrono::milliseconds { leastWorkMs + m_random(workSpreadMs) },
            [this, server, item] { finish(server, item); });
    }
}

void server_fleet::finish(const std::string& server, const work_item& item)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    living_server& known = found->second;
    --known.busy;
    const auto flow = known.flows.find(item.flow);
    if (flow != known.flows.end() && flow->second.request == item.request) {
        flow->second.answer = encodePayload({ item.request, true });
        reply(known, item.flow, flow->second, false, false);
    }
    work(server);
}

void server_fleet::reply(living_server& server, const steering::flow_address& flow, const served_flow& known,
    bool isOpening, bool isClosing)
{
    flow_segment segment;
    segment.source = { flow.serviceAddress, flow.servicePort };
    segment.destination = { flow.callerAddress, flow.callerPort };
    segment.isOpening = isOpening;
    segment.isAcknowledging = true;
    // A draining server closes a flow with its next answer.
    segment.isClosing = isClosing
        || (!isOpening && !known.answer.empty() && server.entry.state == steering::server_state::Draining);
    segment.sequence = isOpening ? known.sequence : known.sequence + 1 + known.sent;
    segment.acknowledgement = known.callerSequence + 1 + known.received;
    segment.tag = known.tag;
    if (!isOpening && !isClosing)
        segment.payload = known.answer;
    send(server, segment);
}

void server_fleet::reset(living_server& server, const steering::flow_address& flow)
{
    flow_segment segment;
    segment.source = { flow.serviceAddress, flow.servicePort };
    segment.destination = { flow.callerAddress, flow.callerPort };
    segment.isReset = true;
    m_checker.recordForeignReset(flow, server.entry.id, soakNow());
    send(server, segment);
}

void server_fleet::send(living_server& server, const flow_segment& segment)
{
    const core::socket_address to { core::ip_address::fromV4(segment.destination.address), m_callerPort };
    server.port->send(platform::testing::encodeSegment(segment), testbench::toUdpEndpoint(to));
}

} // namespace shallotcove::soak
