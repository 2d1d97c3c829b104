// Measures the packet thread's time per packet of established flows, and that of a plain receive-and-send
// loop with the same batches and sockets as a baseline. The ratio of the items per second is the relative
// forwarding rate.

#include <chrono>

#include <benchmark/benchmark.h>

#include <shallotcove/daemon/packet_worker.hpp>

#include "packet_batch.hpp"
#include "packet_fixture.hpp"

namespace {

namespace core = shallotcove::core;
namespace wire = shallotcove::wire;
namespace daemon_ns = shallotcove::daemon;
namespace testing = shallotcove::daemon::testing;

constexpr std::size_t flows = 64;

/// Sends one datagram of each flow and receives what reached the server, both outside the measured time.
class traffic {
public:
    explicit traffic(std::size_t payload)
    {
        for (std::size_t i = 0; i < flows; ++i)
            m_packets.push_back(
                testing::gueSegment(static_cast<std::uint16_t>(20000 + i), wire::tcpAck, payload));
    }

    void send(const core::socket_address& to)
    {
        for (const std::vector<std::byte>& packet : m_packets)
            testing::sendDatagram(m_fabric, to, packet);
    }

    std::size_t receive()
    {
        std::size_t received = 0;
        while (!testing::receiveDatagram(m_server).empty())
            ++received;
        return received;
    }

    core::socket_address server() const { return m_server.address(); }

private:
    daemon_ns::udp_socket m_fabric { testing::loopbackSocket() };
    daemon_ns::udp_socket m_server { testing::loopbackSocket() };
    std::vector<std::vector<std::byte>> m_packets;
};

template <typename Work>
void measure(benchmark::State& state, traffic& packets, const core::socket_address& to, Work work)
{
    std::size_t received = 0;
    for (auto _ : state) {
        packets.send(to);
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        state.SetIterationTime(elapsed.count());
        received += packets.receive();
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(received));
    if (received != flows * static_cast<std::size_t>(state.iterations()))
        state.SkipWithError("packets were lost");
}

void plainLoop(benchmark::State& state)
{
    traffic packets(static_cast<std::size_t>(state.range(0)));
    const daemon_ns::udp_socket socket = testing::loopbackSocket();
    daemon_ns::packet_batch batch;
    daemon_ns::relaxed_counter failed;
    measure(state, packets, socket.address(), [&] {
        const std::size_t received = batch.receive(socket);
        for (std::size_t i = 0; i < received; ++i)
            batch.queue(batch.datagram(i), packets.server());
        batch.send(socket, failed);
    });
}

void knownFlows(benchmark::State& state)
{
    traffic packets(static_cast<std::size_t>(state.range(0)));
    daemon_ns::udp_socket socket = testing::loopbackSocket();
    const core::socket_address address = socket.address();
    daemon_ns::ring<daemon_ns::packet_command> commands(64);
    daemon_ns::ring<daemon_ns::packet_report> reports(64);
    daemon_ns::packet_counters counters;
    daemon_ns::packet_worker worker(std::move(socket), std::move(*core::packet_engine::create({})),
        *wire::peer_key::parse(std::string(64, '1')), commands, reports, counters);
    core::routing_snapshot snapshot;
    snapshot.sync = core::sync_state::Synchronized;
    core::member self;
    self.id = { 1 };
    snapshot.self = self.id;
    snapshot.owners = { self };
    snapshot.services
        = { std::make_shared<const core::service_config>(testing::serviceWith({ packets.server() })) };
    commands.push(std::make_shared<const core::routing_snapshot>(snapshot));
    measure(state, packets, address, [&] {
        worker.runOnce();
        while (reports.pop()) { }
    });
}

} // namespace

BENCHMARK(plainLoop)->Arg(100)->Arg(1400)->UseManualTime();
BENCHMARK(knownFlows)->Arg(100)->Arg(1400)->UseManualTime();

BENCHMARK_MAIN();
