#include <shallotcove/daemon/host.hpp>

#include <criterion/criterion.h>

#include "host_fixture.hpp"

namespace core = shallotcove::core;
namespace rpc = shallotcove::rpc;
namespace wire = shallotcove::wire;
namespace daemon_ns = shallotcove::daemon;
namespace testbench = shallotcove::testbench;
namespace testing = shallotcove::daemon::testing;

namespace {

// Sends the first packet of a flow until the server receives it, as callers retransmit it. The caller's port
// identifies the flow.
bool reachesServer(const daemon_ns::udp_socket& fabric, const core::socket_address& host,
    const daemon_ns::udp_socket& server, std::uint16_t port)
{
    const std::vector<std::byte> packet = testing::gueSegment(port, wire::tcpSyn);
    for (int attempt = 0; attempt < 200; ++attempt) {
        testing::sendDatagram(fabric, host, packet);
        if (server.waitReadable(50))
            return testing::receiveDatagram(server) == packet;
    }
    return false;
}

// Waits until a line of the metrics page begins with the given text. Each attempt also makes a status call.
bool waitForMetric(testing::running_host& host, const std::string& line)
{
    return host.waitForStatus([&](const Json::Value&) {
        return testing::readMetrics(host.addresses().metrics).find("\n" + line) != std::string::npos;
    });
}

} // namespace

// A change that an operator makes at one host must reach the other host, and packets sent to either host must
// reach the added server.
Test(host, operator_change_takes_effect_at_every_host)
{
    testing::platform_standins platform;
    testing::running_host first(testing::hostSettings(platform, "buc-a-1", {}));
    testing::running_host second(testing::hostSettings(platform, "buc-a-2", { first.addresses().peers }));
    cr_assert(first.waitUntilServing() && second.waitUntilServing());
    const daemon_ns::udp_socket server = testing::loopbackSocket();
    const daemon_ns::udp_socket fabric = testing::loopbackSocket();
    cr_assert(first.command("serviceCreate", "1", testing::newServiceRequest()).has_value());
    const tl::expected<Json::Value, rpc::client_error> added
        = first.command("serverAdd", "2", testing::newServerRequest(server.address()));
    cr_assert(added.has_value() && (*added)["server"].asUInt() == 1);
    cr_assert(reachesServer(fabric, first.addresses().packets, server, 20000));
    cr_assert(reachesServer(fabric, second.addresses().packets, server, 20001));
    // New flows to a cold server pass through the flow's owner and backup, either of which may be the host
    // that forwards. With 24 flows, both hosts forward some.
    for (std::uint16_t port = 20002; port < 20026; ++port)
        cr_assert(reachesServer(fabric, second.addresses().packets, server, port), "caller port %u", port);
    cr_assert(second.query("serviceList")["services"][0]["name"] == "rezervari");
    Json::Value flow;
    flow["caller"] = "198.51.100.7:20000";
    flow["address"] = testing::serviceAddress.toString();
    cr_assert(second.query("explainFlow", flow)["server"].asUInt() == 1);
    Json::Value changes;
    changes["service"] = "rezervari";
    cr_assert(second.query("changes", changes)["operations"].size() == 2);
    Json::Value since;
    since["sinceIndex"] = 0;
    // The service, its address and the next service id.
    cr_assert(second.query("watch", since)["changed"].size() >= 3);
    cr_assert(second.query("serviceShow", Json::Value(Json::objectValue)).isNull());
    for (const char* const name :
        { "shallotcove_packets_forwarded_total", "shallotcove_members{state=\"Alive\"} 2",
            "shallotcove_live_epochs{service=\"rezervari\"}", "shallotcove_control_sent_bytes_total",
            "shallotcove_packet_handling_seconds_bucket{service=\"rezervari\"" })
        cr_assert(waitForMetric(second, name), "%s", name);
}

// A host that starts while the store is down must keep running, refuse changes, and serve and accept changes
// once the store is back.
Test(host, store_unavailable_at_start)
{
    testing::platform_standins platform;
    platform.setFault(testbench::store_fault::Down);
    testing::running_host host(testing::hostSettings(platform, "buc-a-1", {}));
    cr_assert(host.waitForStatus([](const Json::Value& status) { return status["store"] == "Unavailable"; }));
    const tl::expected<Json::Value, rpc::client_error> refused
        = host.command("serviceCreate", "1", testing::newServiceRequest());
    cr_assert(!refused && refused.error().kind == rpc::client_error_kind::Refused);
    cr_assert(refused.error().refusal == rpc::operator_error::StoreUnavailable);
    platform.setFault(testbench::store_fault::None);
    cr_assert(host.waitForStatus([](const Json::Value& status) {
        return status["store"] == "Available" && status["appliedIndex"].asUInt() > 0;
    }));
    cr_assert(host.command("serviceCreate", "1", testing::newServiceRequest()).has_value());
}

// If the store loses its answers, cuts them short or sends invalid ones, a change must be reported as of
// unknown outcome, repeating it must not apply it twice, and the process must go on.
Test(host, operator_write_with_lost_answer)
{
    testing::platform_standins platform;
    testing::running_host host(testing::hostSettings(platform, "buc-a-1", {}));
    cr_assert(
        host.waitForStatus([](const Json::Value& status) { return status["appliedIndex"].asUInt() > 0; }));
    Json::Value request = testing::newServiceRequest();
    unsigned created = 0;
    for (const testbench::store_fault fault : { testbench::store_fault::LoseResponses,
             testbench::store_fault::TruncateResponses, testbench::store_fault::InvalidJson }) {
        const std::string id = std::to_string(++created);
        request["name"] = "service-" + id;
        request["address"] = "192.0.2.1:" + id;
        platform.setFault(fault);
        const tl::expected<Json::Value, rpc::client_error> lost = host.command("serviceCreate", id, request);
        cr_assert(!lost && lost.error().kind == rpc::client_error_kind::Refused, "%s", id.c_str());
        cr_assert(lost.error().refusal == rpc::operator_error::OutcomeUnknown, "%s", id.c_str());
        platform.setFault(testbench::store_fault::None);
        const tl::expected<Json::Value, rpc::client_error> repeated
            = host.command("serviceCreate", id, request);
        cr_assert(repeated.has_value() && (*repeated)["id"].asUInt() == created, "%s", id.c_str());
    }
}

// Malformed, truncated and oversized datagrams must be dropped and counted by reason, and must not end the
// process.
Test(host, malformed_datagrams_are_counted)
{
    testing::platform_standins platform;
    testing::running_host host(testing::hostSettings(platform, "buc-a-1", {}));
    const daemon_ns::udp_socket sender = testing::loopbackSocket();
    for (const std::size_t length : { 0UL, 1UL, 100UL, 1400UL, 9500UL }) {
        testing::sendDatagram(sender, host.addresses().packets, std::vector<std::byte>(length));
        testing::sendDatagram(
            sender, host.addresses().peers, std::vector<std::byte>(length, std::byte { 0xff }));
    }
    cr_assert(waitForMetric(host, "shallotcove_packets_dropped_total{reason=\"Truncated\"} 1"));
    cr_assert(waitForMetric(host, "shallotcove_packets_dropped_total{reason=\"MalformedTooShort\"} 2"));
    cr_assert(waitForMetric(host, "shallotcove_peer_messages_dropped_total{reason=\"TooShort\"} 2"));
    cr_assert(waitForMetric(host, "shallotcove_peer_messages_dropped_total{reason=\"TooLong\"} 1"));
}

// If an address cannot be bound, the start must fail and name the setting, its value and the cause.
Test(host, reports_the_setting_that_cannot_be_satisfied)
{
    testing::platform_standins platform;
    testing::running_host host(testing::hostSettings(platform, "buc-a-1", {}));
    const daemon_ns::host_addresses used = host.addresses();
    struct row {
        core::socket_address daemon_ns::settings::*member;
        core::socket_address address;
        const char* field;
    };
    const std::vector<row> table {
        { &daemon_ns::settings::packetAddress, used.packets, "packetAddress" },
        { &daemon_ns::settings::peerAddress, used.peers, "peerAddress" },
        { &daemon_ns::settings::operatorAddress, used.operators, "operatorAddress" },
        { &daemon_ns::settings::metricsAddress, used.metrics, "metricsAddress" },
        { &daemon_ns::settings::peerAddress, testing::parsedAddress("192.0.2.1:7946"), "peerAddress" },
    };
    const std::unique_ptr<daemon_ns::event_log> log = testing::errorLog();
    for (const row& entry : table) {
        daemon_ns::settings settings = testing::hostSettings(platform, "buc-a-2", {});
        settings.*entry.member = entry.address;
        const tl::expected<std::unique_ptr<daemon_ns::host>, daemon_ns::start_failure> second
            = daemon_ns::host::create(settings, *log);
        cr_assert(!second.has_value(), "%s", entry.field);
        cr_assert(second.error().field == entry.field, "%s", second.error().field.c_str());
        cr_assert(second.error().value == entry.address.toString() && !second.error().cause.empty());
    }
}

// A host that shuts down must be reported as Leaving by the other host, and must forward the packets that the
// fabric still sends until the quiet period ends.
Test(host, graceful_shutdown)
{
    testing::platform_standins platform;
    testing::running_host first(testing::hostSettings(platform, "buc-a-1", {}));
    testing::running_host second(testing::hostSettings(platform, "buc-a-2", { first.addresses().peers }));
    cr_assert(first.waitUntilServing() && second.waitUntilServing());
    const daemon_ns::udp_socket server = testing::loopbackSocket();
    const daemon_ns::udp_socket fabric = testing::loopbackSocket();
    cr_assert(first.command("serviceCreate", "1", testing::newServiceRequest()).has_value());
    cr_assert(first.command("serverAdd", "2", testing::newServerRequest(server.address())).has_value());
    cr_assert(reachesServer(fabric, first.addresses().packets, server, 20000));
    cr_assert(first.host().shutdownState() == daemon_ns::shutdown_state::Running);
    first.host().beginShutdown("test");
    cr_assert(second.waitForStatus([&](const Json::Value& status) {
        for (const Json::Value& member : status["hosts"]) {
            if (member["peerAddress"] == first.addresses().peers.toString())
                return member["state"] == "Leaving";
        }
        return false;
    }));
    cr_assert(reachesServer(fabric, first.addresses().packets, server, 20000));
    cr_assert(reachesServer(fabric, first.addresses().packets, server, 20001));
    cr_assert(first.host().shutdownState() == daemon_ns::shutdown_state::Draining);
    cr_assert(first.waitForStatus([&](const Json::Value&) {
        return first.host().shutdownState() == daemon_ns::shutdown_state::Quiet;
    }));
    cr_assert(reachesServer(fabric, second.addresses().packets, server, 20000));
}
