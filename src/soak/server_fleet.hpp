#pragma once

#include <utility>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <pcg_random.hpp>

#include <tl/expected.hpp>

#include <platform/testing/flow_segment.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/server_entry.hpp>

#include "testbench/datagram_port.hpp"
#include "testbench/timer_queue.hpp"

namespace shallotcove::soak {

class promise_checker;
class soak_network;

/// Simulates backend servers: accepts flows, processes requests, and reports what arrives to the checker.
class server_fleet {
public:
    server_fleet(boost::asio::io_context&, testbench::timer_queue&, promise_checker&, const soak_network&,
        std::uint64_t seed);

    /// Port on which callers receive packets.
    void setCallerPort(std::uint16_t port) { m_callerPort = port; }
    /// Opens a socket on the address; successive servers may use it.
    tl::expected<void, std::string> addAddress(const core::socket_address&);
    void start(const steering::server_entry&);
    /// Marks the server as draining: it closes each flow with its next response.
    void drain(const std::string& server);
    /// Removes the server abruptly, with its flows and without closing them.
    void terminate(const std::string& server);

    std::vector<std::string> readyServers(const std::string& service) const;
    const steering::server_entry* find(const std::string& server) const;

private:
    using flow_segment = platform::testing::flow_segment;

    struct served_flow {
        std::uint32_t sequence {};
        std::uint32_t callerSequence {};
        std::uint32_t tag {};
        bool isOpen {};
        /// The request in progress or answered last, and its response.
        std::uint64_t request {};
        std::vector<std::byte> response;
        /// Request bytes received, and bytes of the previous responses.
        std::uint32_t received {};
        std::uint32_t sent {};
    };

    struct queued_request {
        steering::flow_address flow;
        std::uint64_t request {};
    };

    struct running_server {
        steering::server_entry entry;
        testbench::datagram_port* port {};
        std::map<steering::flow_address, served_flow> flows;
        std::deque<queued_request> queue;
        std::uint32_t busySlots {};
    };

    void handle(const core::socket_address& localAddress, std::span<const std::byte>, std::uint32_t from);
    void handleSegment(running_server&, const flow_segment&, const std::string& host);
    void openFlow(
        running_server&, const flow_segment&, const steering::flow_address&, const std::string& host);
    void handleRequest(running_server&, served_flow&, const flow_segment&, const steering::flow_address&);
    void processQueue(const std::string& server);
    void finishRequest(const std::string& server, const queued_request&);
    void reply(
        running_server&, const steering::flow_address&, const served_flow&, bool isOpening, bool isClosing);
    void sendReset(running_server&, const steering::flow_address&);
    void send(running_server&, const flow_segment&);
    running_server* serverAt(const core::socket_address&);

    boost::asio::io_context& m_context;
    testbench::timer_queue& m_timers;
    promise_checker& m_checker;
    const soak_network& m_network;
    pcg32 m_random;
    std::uint16_t m_callerPort {};
    std::map<core::socket_address, std::unique_ptr<testbench::datagram_port>> m_ports;
    std::map<std::string, running_server> m_servers;
};

} // namespace shallotcove::soak
