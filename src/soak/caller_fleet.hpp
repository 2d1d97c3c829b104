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
#include "testbench/timer_queue.hpp"

namespace shallotcove::soak {

/// A request without a response after this time counts as lost. The longest request timeout of the users'
/// small deployments.
inline constexpr std::chrono::milliseconds requestTimeout { 4000 };

class flow_router;
class promise_checker;
class soak_network;

/// Simulates callers: opens flows with retransmitted opening packets, sends one or more requests on each
/// flow, and retries requests where this is allowed.
class caller_fleet {
public:
    /// Returns whether an unanswered request counts as lost. It does not if its server was taken out of
    /// service together with its flows.
    using loss_filter = std::function<bool(const steering::flow_address&)>;

    caller_fleet(boost::asio::io_context&, testbench::timer_queue&, promise_checker&, flow_router&,
        const soak_network&, std::uint64_t seed);

    /// Adds a caller whose packets enter at the given data centre.
    tl::expected<void, std::string> addCaller(const core::socket_address&, std::string dataCentre);
    void setRoute(const steering::route_address& route) { m_route = route; }
    void setLossFilter(loss_filter filter) { m_lossFilter = std::move(filter); }
    /// Starts requests at random times until stop().
    void start(double requestsPerSecond);
    void stop() { m_isStopped = true; }
    /// Opens a single flow directly at the host, bypassing the router, to find out which configuration the
    /// host uses.
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
        bool isIdempotent {};
        core::timestamp startedAt;
        int attemptsLeft {};
    };

    struct flow_state {
        std::size_t callerIndex {};
        /// Destination host of a probe flow, which bypasses the router; empty for other flows.
        std::string host;
        std::uint32_t sequence {};
        std::uint32_t serverSequence {};
        /// Bytes of the responses so far, and of the requests before the current one.
        std::uint32_t received {};
        std::uint32_t sent {};
        std::uint32_t tag {};
        core::timestamp startedAt;
        bool isOpen {};
        bool isResponseReceived {};
        request current;
        /// Number of requests left on the flow after the current one.
        int followingRequests {};
    };

    void scheduleRequest(double requestsPerSecond);
    void openFlow(std::size_t caller, const steering::route_address&, const request&, int followingRequests,
        std::string host);
    void sendOpeningPacket(const steering::flow_address&, std::uint32_t sequence, std::uint32_t copy);
    void sendRequest(const steering::flow_address&, std::uint64_t number, std::chrono::milliseconds interval);
    void send(const steering::flow_address&, const flow_state&, flow_segment);
    void handle(std::span<const std::byte>, std::uint32_t from);
    void handleReset(const steering::flow_address&, flow_state&, std::uint32_t sequence, std::uint32_t from);
    void handleResponse(const steering::flow_address&, flow_state&, bool isClosing);
    void nextRequest(const steering::flow_address&, std::uint64_t previous);
    void close(const steering::flow_address&, const flow_state&);
    void retry(const steering::flow_address&, const flow_state&);
    void recordLostRequest(const steering::flow_address&, const flow_state&);
    request createRequest();
    flow_state* find(const steering::flow_address&, std::uint32_t sequence);

    boost::asio::io_context& m_context;
    testbench::timer_queue& m_timers;
    promise_checker& m_checker;
    flow_router& m_router;
    const soak_network& m_network;
    pcg32 m_random;
    std::vector<caller> m_callers;
    steering::route_address m_route;
    loss_filter m_lossFilter;
    std::map<steering::flow_address, flow_state> m_flows;
    std::uint64_t m_nextRequest { 1 };
    std::size_t m_served {};
    std::size_t m_lost {};
    std::size_t m_refused {};
    bool m_isStopped {};
};

} // namespace shallotcove::soak
