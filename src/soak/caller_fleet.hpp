#pragma once

#include <utility>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <pcg_random.hpp>

#include <tl/expected.hpp>

#include <platform/testing/flow_segment.hpp>
#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>

#include "testbench/datagram_port.hpp"
#include "testbench/work_queue.hpp"

namespace shallotcove::soak {

/// A request is lost after this time; the longest of the small deployments of the users.
inline constexpr std::chrono::milliseconds requestTimeout { 4000 };

class flow_router;
class promise_checker;
class soak_network;

/// Stands in for callers: opens flows with repeated first packets, sends requests, some on flows that stay
/// open, and tries again as far as a request allows it.
class caller_fleet {
public:
    /// Tells whether a request that got no answer counts: its server may have been taken out with its flows.
    using loss_filter = std::function<bool(const steering::flow_address&)>;

    caller_fleet(boost::asio::io_context&, testbench::work_queue&, promise_checker&, flow_router&,
        const soak_network&, std::uint64_t seed);

    /// A caller of a data centre.
    tl::expected<void, std::string> addCaller(const core::socket_address&, std::string dataCentre);
    void setRoute(const steering::route_address& route) { m_route = route; }
    void setLossFilter(loss_filter filter) { m_countsLoss = std::move(filter); }
    /// Requests begin at random times until stop().
    void start(double requestsPerSecond);
    void stop() { m_isStopped = true; }
    /// One flow on a route past the routers, to see which configuration a host uses.
    void probe(const std::string& host, const steering::route_address&);

    std::size_t served() const { return m_served; }
    std::size_t lost() const { return m_lost; }
    std::size_t refused() const { return m_refused; }
    bool isIdle() const { return m_flows.empty(); }

private:
    using flow_segment = platform::testing::flow_segment;

    struct caller {
        std::string dataCentre;
        std::uint32_t address {};
        std::unique_ptr<testbench::datagram_port> port;
        std::uint16_t nextPort {};
    };

    struct request {
        std::uint64_t number {};
        bool isRepeatable {};
        core::timestamp startedAt;
        int triesLeft {};
    };

    struct calling_flow {
        std::size_t callerIndex {};
        /// Set for a flow that goes past the routers.
        std::string host;
        std::uint32_t sequence {};
        std::uint32_t serverSequence {};
        /// Bytes of the answers so far, and of the requests before the current one.
        std::uint32_t received {};
        std::uint32_t sent {};
        std::uint32_t tag {};
        core::timestamp startedAt;
        bool isOpen {};
        bool isAnswered {};
        request current;
        /// Requests that follow on the flow.
        int following {};
    };

    void scheduleRequest(double requestsPerSecond);
    void open(
        std::size_t caller, const steering::route_address&, const request&, int following, std::string host);
    void sendOpening(const steering::flow_address&, std::uint32_t sequence, std::uint32_t copy);
    void sendRequest(const steering::flow_address&, std::uint64_t number, std::chrono::milliseconds interval);
    void send(const steering::flow_address&, const calling_flow&, flow_segment);
    void handle(std::span<const std::byte>, std::uint32_t from);
    void handleReset(
        const steering::flow_address&, calling_flow&, std::uint32_t sequence, std::uint32_t from);
    void handleAnswer(const steering::flow_address&, calling_flow&, bool isClosing);
    void nextRequest(const steering::flow_address&, std::uint64_t former);
    void close(const steering::flow_address&, const calling_flow&);
    void tryAgain(const steering::flow_address&, const calling_flow&);
    void lose(const steering::flow_address&, const calling_flow&);
    request newRequest();
    calling_flow* find(const steering::flow_address&, std::uint32_t sequence);

    boost::asio::io_context& m_context;
    testbench::work_queue& m_work;
    promise_checker& m_checker;
    flow_router& m_router;
    const soak_network& m_network;
    pcg32 m_random;
    std::vector<caller> m_callers;
    steering::route_address m_route;
    loss_filter m_countsLoss;
    std::map<steering::flow_address, calling_flow> m_flows;
    std::uint64_t m_nextRequest { 1 };
    std::size_t m_served {};
    std::size_t m_lost {};
    std::size_t m_refused {};
    bool m_isStopped {};
};

} // namespace shallotcove::soak
