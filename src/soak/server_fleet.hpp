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
#include "testbench/work_queue.hpp"

namespace shallotcove::soak {

class promise_checker;
class soak_network;

/// Stands in for backend servers: answers flows, works on requests, and tells the checker what arrives.
class server_fleet {
public:
    server_fleet(boost::asio::io_context&, testbench::work_queue&, promise_checker&, const soak_network&,
        std::uint64_t seed);

    /// Callers receive on this port.
    void setCallerPort(std::uint16_t port) { m_callerPort = port; }
    /// Opens a socket for servers; several may have it one after the other.
    tl::expected<void, std::string> addAddress(const core::socket_address&);
    void start(const steering::server_entry&);
    /// Flows are closed after their next answer.
    void drain(const std::string& server);
    /// The server is gone without a word, with its flows.
    void end(const std::string& server);

    std::vector<std::string> living(const std::string& service) const;
    const steering::server_entry* find(const std::string& server) const;

private:
    using flow_segment = platform::testing::flow_segment;

    struct served_flow {
        std::uint32_t sequence {};
        std::uint32_t callerSequence {};
        std::uint32_t tag {};
        bool isOpen {};
        /// Request in work or answered last, and its answer.
        std::uint64_t request {};
        std::vector<std::byte> answer;
        /// Bytes of the caller that arrived, and bytes of the former answers.
        std::uint32_t received {};
        std::uint32_t sent {};
    };

    struct work_item {
        steering::flow_address flow;
        std::uint64_t request {};
    };

    struct living_server {
        steering::server_entry entry;
        testbench::datagram_port* port {};
        std::map<steering::flow_address, served_flow> flows;
        std::deque<work_item> queue;
        std::uint32_t busy {};
    };

    void handle(const core::socket_address& own, std::span<const std::byte>, std::uint32_t from);
    void handleSegment(living_server&, const flow_segment&, const std::string& host);
    void openFlow(
        living_server&, const flow_segment&, const steering::flow_address&, const std::string& host);
    void takeRequest(living_server&, served_flow&, const flow_segment&, const steering::flow_address&);
    void work(const std::string& server);
    void finish(const std::string& server, const work_item&);
    void reply(
        living_server&, const steering::flow_address&, const served_flow&, bool isOpening, bool isClosing);
    void reset(living_server&, const steering::flow_address&);
    void send(living_server&, const flow_segment&);
    living_server* serverAt(const core::socket_address&);

    boost::asio::io_context& m_context;
    testbench::work_queue& m_work;
    promise_checker& m_checker;
    const soak_network& m_network;
    pcg32 m_random;
    std::uint16_t m_callerPort {};
    std::map<core::socket_address, std::unique_ptr<testbench::datagram_port>> m_ports;
    std::map<std::string, living_server> m_servers;
};

} // namespace shallotcove::soak
