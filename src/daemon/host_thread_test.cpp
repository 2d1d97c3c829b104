// Provokes data races between the threads of a host, for the thread sanitizer: two hosts get packets,
// operator calls, metrics scrapes, malformed datagrams and a shutdown for a fixed number of rounds. Returns 0
// on success.

#include <cstdio>

#include "host_fixture.hpp"

namespace {

namespace core = shallotcove::core;
namespace wire = shallotcove::wire;
namespace daemon_ns = shallotcove::daemon;
namespace testing = shallotcove::daemon::testing;

constexpr int rounds = 60;
constexpr std::uint16_t flowsPerRound = 32;

int failures = 0;

void expect(bool condition, const char* what)
{
    if (condition)
        return;
    std::fprintf(stderr, "failed: %s\n", what);
    ++failures;
}

std::size_t drain(const daemon_ns::udp_socket& server)
{
    std::size_t received = 0;
    while (!testing::receiveDatagram(server).empty())
        ++received;
    return received;
}

void sendFlows(const daemon_ns::udp_socket& fabric, const core::socket_address& host, int round)
{
    for (std::uint16_t i = 0; i < flowsPerRound; ++i) {
        const std::uint16_t port = static_cast<std::uint16_t>(20000 + round * flowsPerRound + i);
        testing::sendDatagram(fabric, host, testing::gueSegment(port, wire::tcpSyn));
        testing::sendDatagram(fabric, host, testing::gueSegment(port, wire::tcpAck, 100));
    }
}

Json::Value weightRequest(unsigned weight)
{
    Json::Value request;
    request["service"] = "rezervari";
    request["server"] = 1;
    request["weight"] = weight;
    return request;
}

} // namespace

int main()
{
    testing::platform_standins platform;
    testing::running_host first(testing::hostSettings(platform, "buc-a-1", {}));
    testing::running_host second(testing::hostSettings(platform, "buc-a-2", { first.addresses().peers }));
    expect(first.waitUntilServing() && second.waitUntilServing(), "both hosts become ready to serve");
    const daemon_ns::udp_socket servers[] { testing::loopbackSocket(), testing::loopbackSocket() };
    const daemon_ns::udp_socket fabric = testing::loopbackSocket();
    expect(first.command("serviceCreate", "c", testing::newServiceRequest()).has_value(),
        "the service is created");
    for (const daemon_ns::udp_socket& server : servers)
        expect(first
                   .command(
                       "serverAdd", server.address().toString(), testing::newServerRequest(server.address()))
                   .has_value(),
            "the server is added");
    std::size_t received = 0;
    for (int round = 0; round < rounds; ++round) {
        sendFlows(fabric, first.addresses().packets, round);
        sendFlows(fabric, second.addresses().packets, round);
        testing::sendDatagram(fabric, first.addresses().peers, std::vector<std::byte>(50));
        if (round % 10 == 0)
            first.command("serverWeight", "w" + std::to_string(round),
                weightRequest(100 + static_cast<unsigned>(round)));
        second.query("status");
        testing::readMetrics(second.addresses().metrics);
        if (round == rounds / 2)
            second.host().beginShutdown("test");
        received += drain(servers[0]) + drain(servers[1]);
    }
    const bool isQuiet = second.waitForStatus([&](const Json::Value&) {
        return second.host().shutdownState() == daemon_ns::shutdown_state::Quiet;
    });
    expect(isQuiet, "the second host shuts down gracefully");
    received += drain(servers[0]) + drain(servers[1]);
    expect(received > 0, "packets reach the servers");
    std::printf("%zu packets reached the servers, %d failures\n", received, failures);
    return failures == 0 ? 0 : 1;
}
