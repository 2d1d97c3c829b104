#include <utility>

#include <functional>
#include <optional>

#include <criterion/criterion.h>
#include <pcg_random.hpp>

#include <shallotcove/wire/caller_packet.hpp>

#include "backend_standin.hpp"
#include "caller_standin.hpp"
#include "datagram_port.hpp"
#include "endpoints.hpp"
#include "event_loop.hpp"
#include "fabric_standin.hpp"

namespace core = shallotcove::core;
namespace testbench = shallotcove::testbench;
namespace wire = shallotcove::wire;

namespace {

const core::socket_address anyPort = *core::socket_address::parse("127.0.0.1:0");
const core::socket_address bookingAddress = *core::socket_address::parse("198.18.0.1:443");
const core::socket_address mediaAddress = *core::socket_address::parse("198.18.0.2:443");

/// Callers, fabric and backend servers, connected by a host whose routing the test defines.
class testbed {
    // Declared first, so that it outlives all objects with sockets on it.
    boost::asio::io_context m_context;

public:
    /// Returns the numbers of the servers to which a packet is forwarded.
    using route = std::function<std::vector<std::size_t>(const wire::caller_packet&)>;

    explicit testbed(route router, core::transport protocol = core::transport::Tcp)
        : m_route(std::move(router))
    {
        testbench::backend_standin_options servers { anyPort, anyPort.address, {} };
        for (const core::socket_address& address : { bookingAddress, bookingAddress, mediaAddress }) {
            testbench::backend_server_options server;
            server.serviceAddress = address;
            server.protocol = protocol;
            server.newFlowsPerSecond = 100000;
            server.slots = 100;
            servers.servers.push_back(server);
        }
        m_backendOptions = servers;
        m_callerOptions.groups = { { "couples", *core::ip_address::parse("127.2.0.1"), 3 },
            { "planners", *core::ip_address::parse("127.2.0.2"), 1 } };
        m_callerOptions.services.resize(1);
        testbench::target_service& service = m_callerOptions.services[0];
        service = { "rezervari", bookingAddress, protocol, 100, 50, 2, std::chrono::milliseconds { 20 },
            std::chrono::milliseconds { 20 },
            { { "query", 1, 3, protocol == core::transport::Tcp ? 5000U : 500U, false },
                { "hold", 5, 1, 100, true } } };
        m_callerOptions.controlAddress = anyPort;
        m_callerOptions.rampUp = std::chrono::milliseconds { 100 };
        m_callerOptions.duration = std::chrono::seconds { 60 };
    }

    /// Runs until the condition holds, and then until the callers have finished.
    void runUntil(const std::function<bool()>& condition)
    {
        backend = std::move(*testbench::backend_standin::create(m_context, m_backendOptions));
        m_servers = backend->addresses();
        m_host = std::move(*testbench::datagram_port::create(m_context, anyPort,
            [this](std::span<const std::byte> datagram, const auto& from) { forward(datagram, from); }));
        m_fabric = std::move(*testbench::fabric_standin::create(m_context, { anyPort, anyPort }));
        m_fabric->setHosts({ m_host->address() });
        m_callerOptions.fabric = m_fabric->address();
        bool isFinished = false;
        callers = std::move(*testbench::caller_standin::create(
            m_context, m_callerOptions, [&isFinished] { isFinished = true; }));
        cr_assert(testbench::runUntil(m_context, condition, std::chrono::seconds { 30 }));
        callers->finish();
        cr_assert(testbench::runUntil(
            m_context, [&isFinished] { return isFinished; }, std::chrono::seconds { 30 }));
    }

    const testbench::backend_counters& counters(std::size_t server) const
    {
        return backend->server(server).counters();
    }
    testbench::backend_server_options& serverOptions(std::size_t number)
    {
        return m_backendOptions.servers[number];
    }
    testbench::target_service& service() { return m_callerOptions.services[0]; }
    const testbench::caller_report& report() const { return callers->report(); }

    std::unique_ptr<testbench::backend_standin> backend;
    std::unique_ptr<testbench::caller_standin> callers;
    /// Refuses first packets while this is set.
    bool isRefusing {};

private:
    void forward(std::span<const std::byte> datagram, const testbench::datagram_port::endpoint& from)
    {
        const tl::expected<wire::caller_packet, wire::packet_error> packet = wire::parseGue(datagram);
        cr_assert(packet.has_value());
        if (isRefusing && packet->summary.isFirst) {
            std::array<std::byte, wire::maximumRefusalBytes> refusal {};
            const std::size_t size = wire::buildRefusal(*packet, refusal);
            m_host->send(std::span { refusal }.first(size), from);
            return;
        }
        for (const std::size_t server : m_route(*packet))
            m_host->send(datagram, testbench::toUdpEndpoint(m_servers[server]));
    }

    route m_route;
    testbench::backend_standin_options m_backendOptions;
    testbench::caller_options m_callerOptions;
    std::vector<core::socket_address> m_servers;
    std::unique_ptr<testbench::datagram_port> m_host;
    std::unique_ptr<testbench::fabric_standin> m_fabric;
};

std::vector<std::size_t> byFlow(const wire::caller_packet& packet)
{
    return { core::hashFlow(packet.summary.key, 1).low % 2 };
}

} // namespace

// Guards against stand-ins that cause or report faults although the host is correct.
Test(traffic, correct_host_breaks_no_flows)
{
    for (const core::transport protocol : { core::transport::Tcp, core::transport::Udp }) {
        testbed test(byFlow, protocol);
        test.runUntil([&test] {
            return test.report().answered() > 1000 && test.counters(0).newFlows > 50
                && test.counters(1).newFlows > 50;
        });
        const Json::Value report = test.report().toJson();
        cr_assert(test.report().broken() == 0);
        cr_assert(test.report().refused() == 0 && test.report().unreachable() == 0);
        cr_assert(report["service"].asDouble() == 1);
        cr_assert(report["kinds"]["hold"]["answered"].asUInt() > 0);
        cr_assert(report["groups"]["couples"]["answered"].asUInt()
            > report["groups"]["planners"]["answered"].asUInt());
        cr_assert(test.backend->duplicateRuns() == 0);
        for (const std::size_t server : { 0, 1 }) {
            const testbench::backend_counters& counters = test.counters(server);
            cr_assert(counters.unknownFlowPackets == 0);
            cr_assert(counters.wrongServicePackets == 0 && counters.malformedPackets == 0);
        }
        cr_assert(protocol == core::transport::Udp || test.backend->server(0).openFlows() == 0);
    }
}

// Guards against broken flows that the stand-ins do not detect.
Test(traffic, moved_flows_are_detected)
{
    pcg32 random(7);
    testbed test([&random](const wire::caller_packet& packet) {
        // One packet in a hundred goes to the other server.
        const std::size_t server = byFlow(packet)[0];
        return std::vector<std::size_t> { random(100) == 0 ? 1 - server : server };
    });
    test.runUntil([&test] {
        return test.report().broken() > 10
            && test.counters(0).movedFlowPackets + test.counters(1).movedFlowPackets > 10;
    });
    cr_assert(test.report().toJson()["brokenByCause"]["reset"].asUInt() > 10);
}

// Guards against stand-ins that accept packets of another service.
Test(traffic, packets_for_the_wrong_service_are_detected)
{
    testbed test([](const wire::caller_packet&) { return std::vector<std::size_t> { 2 }; });
    test.service().connections = 5;
    test.runUntil([&test] { return test.counters(2).wrongServicePackets >= 5; });
    cr_assert(test.report().established() == 0 && test.report().answered() == 0);
}

// Guards against refusals counted as broken flows, and against requests counted as offered again after a
// refusal.
Test(traffic, refusals_are_not_counted_as_broken_flows)
{
    testbed test(byFlow);
    test.isRefusing = true;
    test.runUntil([&test] { return test.report().refused() >= 150; });
    cr_assert(test.report().broken() == 0 && test.report().established() == 0);
    // 100 connections with one request each of weight 1 or 5.
    cr_assert(test.report().toJson()["offeredWeight"].asUInt() <= 500);
}

// Guards against duplicate executions of a request that are not detected.
Test(traffic, duplicate_runs_are_detected)
{
    testbed test(
        [](const wire::caller_packet&) {
            return std::vector<std::size_t> { 0, 1 };
        },
        core::transport::Udp);
    test.runUntil([&test] { return test.backend->duplicateRuns() > 10; });
    cr_assert(test.counters(0).movedFlowPackets + test.counters(1).movedFlowPackets > 0);
}

// Guards against callers that give up where TCP would retransmit a packet.
Test(traffic, lost_packets_are_retransmitted)
{
    pcg32 random(7);
    testbed test([&random](const wire::caller_packet& packet) {
        return random(33) == 0 ? std::vector<std::size_t> {} : byFlow(packet);
    });
    test.runUntil([&test] {
        const Json::Value report = test.report().toJson();
        return report["repeatedFirst"].asUInt() > 0 && report["repeatedRequests"].asUInt() > 0;
    });
    cr_assert(test.report().broken() == 0 && test.report().unreachable() == 0);
    cr_assert(test.report().toJson()["service"].asDouble() == 1);
    cr_assert(test.backend->duplicateRuns() == 0);
}

// Guards against overload of a cold server that the stand-ins do not detect.
Test(traffic, overload_of_a_cold_server_is_detected)
{
    testbed test(byFlow);
    test.serverOptions(0).startsCold = true;
    test.serverOptions(0).coldNewFlowsPerSecond = 1;
    test.runUntil([&test] { return test.counters(0).excessFlows > 0; });
    cr_assert(test.counters(0).peakLoadPercent > 100);
    cr_assert(test.counters(1).excessFlows == 0);
}
