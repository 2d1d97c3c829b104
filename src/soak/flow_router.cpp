#include "flow_router.hpp"

#include <algorithm>

#include <xxhash.h>

#include <shallotcove/store/http_exchange.hpp>

#include "testbench/endpoints.hpp"

namespace shallotcove::soak {

namespace {

    // As documented by the platform: routers probe twice a second and remove a host after two missed probes.
    constexpr std::chrono::milliseconds probeInterval { 500 };
    constexpr std::chrono::milliseconds probeTimeout { 400 };
    constexpr int missedProbesUntilRemoved = 2;

    std::uint64_t hashOf(const steering::flow_address& flow, std::uint64_t seed)
    {
        const std::uint32_t parts[] { flow.callerAddress, flow.serviceAddress, flow.callerPort,
            flow.servicePort };
        return XXH64(parts, sizeof parts, seed);
    }

} // namespace

flow_router::flow_router(boost::asio::io_context& context, testbench::timer_queue& timers,
    std::vector<host_plan> hosts, bool isModuloHash)
    : m_context(context)
    , m_timers(timers)
    , m_isModuloHash(isModuloHash)
{
    for (host_plan& plan : hosts)
        m_hosts.push_back({ std::move(plan), 0, false, false, 0, {} });
}

tl::expected<std::unique_ptr<flow_router>, std::string> flow_router::create(boost::asio::io_context& context,
    testbench::timer_queue& timers, const core::socket_address& localAddress, std::vector<host_plan> hosts,
    bool isModuloHash)
{
    std::unique_ptr<flow_router> router(new flow_router(context, timers, std::move(hosts), isModuloHash));
    tl::expected<std::unique_ptr<testbench::datagram_port>, std::string> port
        = testbench::datagram_port::create(context, localAddress,
            [](std::span<const std::byte>, const testbench::datagram_port::endpoint&) {});
    if (!port)
        return tl::unexpected(port.error());
    router->m_port = std::move(*port);
    return router;
}

void flow_router::startProbes()
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        // Staggers the probes over the interval, as if they came from many routers.
        m_timers.runAfter(probeInterval * index / m_hosts.size(), [this, index] { probe(index); });
    }
}

void flow_router::probe(std::size_t index)
{
    store::exchangeHttp(
        m_context, m_hosts[index].plan.readinessAddress, { boost::beast::http::verb::get, "/", {} },
        { probeTimeout, probeTimeout }, [] {},
        [this, index](const tl::expected<store::http_response, store::http_error>& answer) {
            handleProbe(index, answer && answer->status == 200);
        });
    m_timers.runAfter(probeInterval, [this, index] { probe(index); });
}

void flow_router::handleProbe(std::size_t index, bool isReady)
{
    routed_host& host = m_hosts[index];
    host.missedProbes = isReady ? 0 : host.missedProbes + 1;
    if (isReady)
        host.isInRotation = true;
    else if (host.missedProbes >= missedProbesUntilRemoved)
        host.isInRotation = false;
    if (!std::exchange(host.isReady, isReady) && isReady && m_onReady)
        m_onReady(host.plan.name);
}

std::vector<std::size_t> flow_router::candidateHosts(const std::string& dataCentre) const
{
    std::vector<std::size_t> all;
    std::vector<std::size_t> inRotation;
    std::vector<std::size_t> inOtherDataCentres;
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        const routed_host& host = m_hosts[index];
        if (host.plan.dataCentre == dataCentre)
            all.push_back(index);
        if (host.isInRotation)
            (host.plan.dataCentre == dataCentre ? inRotation : inOtherDataCentres).push_back(index);
    }
    if (inRotation.empty())
        return inOtherDataCentres.empty() ? all : inOtherDataCentres;
    return 2 * inRotation.size() < all.size() ? all : inRotation;
}

std::size_t flow_router::chooseHost(
    const std::vector<std::size_t>& hosts, const steering::flow_address& flow) const
{
    if (m_isModuloHash)
        return hosts[hashOf(flow, 0) % hosts.size()];
    return *std::max_element(hosts.begin(), hosts.end(),
        [&flow](std::size_t left, std::size_t right) { return hashOf(flow, left) < hashOf(flow, right); });
}

void flow_router::route(
    const std::string& dataCentre, const steering::flow_address& flow, std::span<const std::byte> packet)
{
    send(chooseHost(candidateHosts(dataCentre), flow), packet);
}

void flow_router::sendTo(const std::string& host, std::span<const std::byte> packet)
{
    send(static_cast<std::size_t>(&findHost(host) - m_hosts.data()), packet);
}

void flow_router::send(std::size_t index, std::span<const std::byte> packet)
{
    const routed_host& host = m_hosts[index];
    if (host.activeDropFaults > 0)
        return;
    const testbench::datagram_port::endpoint endpoint = testbench::toUdpEndpoint(host.plan.packetAddress);
    if (host.delay == std::chrono::milliseconds::zero())
        return m_port->send(packet, endpoint);
    m_timers.runAfter(
        host.delay, [this, endpoint, delayed = std::vector<std::byte>(packet.begin(), packet.end())] {
            m_port->send(delayed, endpoint);
        });
}

flow_router::routed_host& flow_router::findHost(const std::string& host)
{
    return *std::find_if(m_hosts.begin(), m_hosts.end(),
        [&host](const routed_host& candidate) { return candidate.plan.name == host; });
}

void flow_router::setPacketsDropped(const std::string& host, bool isDropped)
{
    findHost(host).activeDropFaults += isDropped ? 1 : -1;
}

void flow_router::setDelay(const std::string& host, std::chrono::milliseconds delay)
{
    findHost(host).delay = delay;
}

bool flow_router::isReady(const std::string& host) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(),
        [&host](const routed_host& candidate) { return candidate.plan.name == host && candidate.isReady; });
}

bool flow_router::areAllReady() const
{
    return std::all_of(
        m_hosts.begin(), m_hosts.end(), [](const routed_host& candidate) { return candidate.isReady; });
}

} // namespace shallotcove::soak
