#include <shallotcove/daemon/packet_worker.hpp>

#include <algorithm>
#include <set>

#include <criterion/criterion.h>

#include <shallotcove/wire/redirect_codec.hpp>

#include "packet_fixture.hpp"

namespace core = shallotcove::core;
namespace wire = shallotcove::wire;
namespace daemon_ns = shallotcove::daemon;
namespace testing = shallotcove::daemon::testing;

namespace {

const wire::peer_key key = *wire::peer_key::parse(std::string(64, '1'));

// Rounds after which a test fails; each round waits up to 1 ms for a datagram.
constexpr int maximumRounds = 5000;

struct worker_fixture {
    daemon_ns::ring<daemon_ns::packet_command> commands { 64 };
    daemon_ns::ring<daemon_ns::packet_report> reports { 64 };
    daemon_ns::packet_counters counters;
    core::member self;
    std::unique_ptr<daemon_ns::packet_worker> worker;

    explicit worker_fixture(std::uint64_t id)
    {
        daemon_ns::udp_socket socket = testing::loopbackSocket();
        self.id = { id };
        self.packetAddress = socket.address();
        self.dataCentre = "buc-a";
        core::packet_engine_options options;
        options.localFlows = 1024;
        options.trackedFlows = 1024;
        worker = std::make_unique<daemon_ns::packet_worker>(std::move(socket),
            std::move(*core::packet_engine::create(options)), key, commands, reports, counters,
            daemon_ns::packet_worker_options { std::chrono::milliseconds { 1 }, 1 });
    }

    void publishSnapshot(const core::service_config& service, const std::vector<core::member>& owners,
        const std::set<std::string>& dataCentresTakenOut = {})
    {
        core::routing_snapshot snapshot;
        snapshot.version = 1;
        snapshot.appliedIndex = { 5 };
        snapshot.sync = core::sync_state::Synchronized;
        snapshot.self = self.id;
        snapshot.owners = owners;
        snapshot.services = { std::make_shared<const core::service_config>(service) };
        snapshot.dataCentresOut = dataCentresTakenOut;
        commands.push(std::make_shared<const core::routing_snapshot>(snapshot));
    }

    std::uint64_t dropped(core::drop_reason reason) const
    {
        return counters.dropped[static_cast<std::size_t>(reason)].value();
    }
};

// Runs the workers until a condition holds, for at most maximumRounds.
template <typename Condition> bool runUntil(const std::vector<worker_fixture*>& hosts, Condition condition)
{
    for (int round = 0; round < maximumRounds; ++round) {
        if (condition())
            return true;
        for (worker_fixture* const host : hosts) {
            host->worker->runOnce();
            while (host->reports.pop()) { }
        }
    }
    return condition();
}

} // namespace

// Packets up to the size of a jumbo frame must reach the selected server unchanged.
Test(packet_worker, forwards_packets_unchanged)
{
    worker_fixture host(1);
    const daemon_ns::udp_socket server = testing::loopbackSocket();
    const daemon_ns::udp_socket fabric = testing::loopbackSocket();
    host.publishSnapshot(testing::serviceWith({ server.address() }), { host.self });
    const std::vector<std::vector<std::byte>> packets { testing::gueSegment(20000, wire::tcpSyn),
        testing::gueSegment(20000, wire::tcpAck, 1400), testing::gueSegment(20000, wire::tcpAck, 8000) };
    for (const std::vector<std::byte>& packet : packets)
        testing::sendDatagram(fabric, host.self.packetAddress, packet);
    cr_assert(runUntil({ &host }, [&] { return host.counters.forwarded.value() == packets.size(); }));
    for (const std::vector<std::byte>& packet : packets)
        cr_assert(testing::receiveDatagram(server) == packet);
    cr_assert(host.counters.fromFabric.value() == packets.size());
    cr_assert(host.counters.lastFabricPacket.load() > 0);
}

// Malformed datagrams must not stop the thread or reach a server, and must be counted by reason.
Test(packet_worker, drops_and_counts_malformed_datagrams)
{
    worker_fixture host(1);
    const daemon_ns::udp_socket server = testing::loopbackSocket();
    const daemon_ns::udp_socket fabric = testing::loopbackSocket();
    host.publishSnapshot(testing::serviceWith({ server.address() }), { host.self });
    std::vector<std::byte> redirect(wire::redirectPrefixBytes);
    const std::vector<std::byte> good = testing::gueSegment(20000, wire::tcpSyn);
    const std::span<const std::byte> inner = std::span(good).subspan(wire::gueHeaderBytes);
    redirect.insert(redirect.end(), inner.begin(), inner.end());
    const wire::peer_key otherKey = *wire::peer_key::parse(std::string(64, '2'));
    wire::writeRedirect({}, inner, otherKey, std::span(redirect).first<wire::redirectPrefixBytes>());
    std::vector<std::byte> shortened = good;
    shortened.resize(good.size() - 21);
    for (const std::vector<std::byte>& bytes : { std::vector<std::byte> {}, std::vector<std::byte>(3),
             shortened, redirect, testing::gueSegment(20000, wire::tcpAck, 9000), good })
        testing::sendDatagram(fabric, host.self.packetAddress, bytes);
    cr_assert(runUntil({ &host }, [&] { return host.counters.forwarded.value() == 1; }));
    std::uint64_t malformed = 0;
    for (const daemon_ns::relaxed_counter& counter : host.counters.malformedPackets)
        malformed += counter.value();
    cr_assert(malformed == 3);
    cr_assert(
        host.counters.malformedRedirects[static_cast<std::size_t>(wire::redirect_error::BadChecksum)].value()
        == 1);
    cr_assert(host.counters.truncated.value() == 1);
    cr_assert(testing::receiveDatagram(server) == good && testing::receiveDatagram(server).empty());
}

// A flow for which two active epochs choose different servers must reach a server through its owner and
// backup.
Test(packet_worker, redirects_ambiguous_flows)
{
    worker_fixture left(1);
    worker_fixture right(2);
    const daemon_ns::udp_socket first = testing::loopbackSocket();
    const daemon_ns::udp_socket second = testing::loopbackSocket();
    const daemon_ns::udp_socket fabric = testing::loopbackSocket();
    core::service_config service = testing::serviceWith({ first.address(), second.address() });
    service.epochs[0].servers.pop_back();
    service.epochs.push_back({ { 2 }, core::epoch_phase::Active, { { { 2 }, 100 } } });
    for (worker_fixture* const host : { &left, &right })
        host->publishSnapshot(service, { left.self, right.self });
    constexpr std::uint16_t flows = 40;
    for (std::uint16_t flow = 0; flow < flows; ++flow)
        testing::sendDatagram(
            fabric, left.self.packetAddress, testing::gueSegment(20000 + flow, wire::tcpSyn));
    cr_assert(runUntil({ &left, &right },
        [&] { return left.counters.forwarded.value() + right.counters.forwarded.value() == flows; }));
    std::size_t received = 0;
    for (std::vector<std::byte> packet = testing::receiveDatagram(second); !packet.empty();
         packet = testing::receiveDatagram(second)) {
        cr_assert(wire::parseGue(packet).has_value());
        ++received;
    }
    cr_assert(received == flows, "new flows go to the server of the newest active epoch");
    cr_assert(left.counters.redirectsIn.value() > 0 && right.counters.redirectsIn.value() > 0);
    cr_assert(left.counters.sendFailed.value() == 0 && right.counters.sendFailed.value() == 0);
}

// A refusal must be sent to the fabric address from which the packet came, and appear to come from the
// service.
Test(packet_worker, refusals_return_to_the_fabric_address)
{
    worker_fixture host(1);
    const daemon_ns::udp_socket server = testing::loopbackSocket();
    const daemon_ns::udp_socket fabric = testing::loopbackSocket();
    const core::service_config service = testing::serviceWith({ server.address() });
    host.publishSnapshot(service, { host.self });
    testing::sendDatagram(fabric, host.self.packetAddress, testing::gueSegment(20000, wire::tcpSyn));
    cr_assert(runUntil({ &host }, [&] { return host.counters.forwarded.value() == 1; }));
    host.publishSnapshot(service, { host.self }, { "buc-a" });
    testing::sendDatagram(fabric, host.self.packetAddress, testing::gueSegment(20000, wire::tcpAck, 10));
    const daemon_ns::relaxed_counter& refused
        = host.counters.refused[static_cast<std::size_t>(core::refusal_reason::DataCentreOut)];
    cr_assert(runUntil({ &host }, [&] { return refused.value() == 1; }));
    const std::vector<std::byte> refusal = testing::receiveDatagram(fabric);
    const tl::expected<wire::caller_packet, wire::packet_error> parsed = wire::parseGue(refusal);
    cr_assert(parsed.has_value() && parsed->summary.isReset);
    cr_assert(parsed->summary.key.caller == testing::serviceAddress);
}

// A host that has no routing snapshot yet must drop packets instead of choosing a server.
Test(packet_worker, drops_without_snapshot)
{
    worker_fixture host(1);
    const daemon_ns::udp_socket fabric = testing::loopbackSocket();
    testing::sendDatagram(fabric, host.self.packetAddress, testing::gueSegment(20000, wire::tcpSyn));
    cr_assert(runUntil({ &host }, [&] { return host.dropped(core::drop_reason::NoSnapshot) == 1; }));
}

// A datagram that cannot be sent must not keep the other datagrams of its batch from being sent.
Test(packet_worker, failed_send_does_not_stop_the_batch)
{
    worker_fixture host(1);
    const daemon_ns::udp_socket server = testing::loopbackSocket();
    const daemon_ns::udp_socket fabric = testing::loopbackSocket();
    // An IPv4 socket cannot send to an IPv6 address.
    host.publishSnapshot(
        testing::serviceWith({ testing::parsedAddress("[2001:db8::1]:6080"), server.address() }),
        { host.self });
    constexpr std::uint16_t flows = 40;
    for (std::uint16_t flow = 0; flow < flows; ++flow)
        testing::sendDatagram(
            fabric, host.self.packetAddress, testing::gueSegment(20000 + flow, wire::tcpSyn));
    cr_assert(runUntil({ &host }, [&] { return host.counters.forwarded.value() == flows; }));
    std::size_t received = 0;
    while (!testing::receiveDatagram(server).empty())
        ++received;
    cr_assert(received > 0 && received < flows);
    cr_assert(received + host.counters.sendFailed.value() == flows);
}

// If the peer thread does not keep up, reports must be postponed. Dropping them would lose evidence and
// tracked flows.
Test(packet_worker, postpones_reports_while_the_ring_is_full)
{
    worker_fixture host(1);
    for (std::size_t i = 0; i < host.reports.capacity(); ++i)
        host.reports.push({});
    for (int round = 0; round < maximumRounds && host.counters.reportsPostponed.value() == 0; ++round)
        host.worker->runOnce();
    cr_assert(host.counters.reportsPostponed.value() > 0 && host.reports.dropped() == 0);
}
