#pragma once

#include <utility>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <shallotcove/wire/segment.hpp>

#include "request.hpp"
#include "timer_queue.hpp"

namespace shallotcove::testbench {

class shared_backend_state;

struct backend_server_options {
    std::string name;
    std::string service;
    core::socket_address serviceAddress;
    core::transport protocol { core::transport::Tcp };
    std::string dataCentre;
    /// Share of the load configured by operators; imbalance is measured against it.
    std::uint32_t weight { 100 };
    /// New flows per second that the server can accept when warm.
    std::uint32_t newFlowsPerSecond { 1000 };
    /// New flows per second that the server can accept right after a cold start.
    std::uint32_t coldNewFlowsPerSecond { 10 };
    /// Requests processed concurrently, and the processing time of each.
    std::uint32_t slots { 3 };
    std::chrono::milliseconds requestTime { 2 };
    bool startsCold {};
};

struct backend_counters {
    std::uint64_t newFlows {};
    /// First packets beyond the capacity of the server at that time. They are dropped without a response.
    std::uint64_t excessFlows {};
    std::uint64_t retransmittedFirstPackets {};
    /// Packets of flows that this server does not hold.
    std::uint64_t unknownFlowPackets {};
    /// The part of unknownFlowPackets whose flow another server holds.
    std::uint64_t movedFlowPackets {};
    std::uint64_t wrongServicePackets {};
    std::uint64_t malformedPackets {};
    std::uint64_t requests {};
    std::uint64_t packets {};
    /// New flows since the last resetFlowsSinceMark(); imbalance is measured over them.
    std::uint64_t flowsSinceMark {};
    /// Highest number of new flows in one second, in percent of the capacity at that time.
    std::uint32_t peakLoadPercent {};
    std::chrono::system_clock::time_point lastPacket;
};

/// Stand-in for one backend server: a minimal TCP with real packet headers, and requests and responses over
/// UDP. Performs no socket I/O; packets go through receive() and the sender callback.
class backend_server {
public:
    using clock = timer_queue::clock;
    using sender = std::function<void(const wire::segment&)>;

    backend_server(
        const backend_server_options&, std::uint32_t number, shared_backend_state&, timer_queue&, sender);

    /// Processes an inner packet, from which the GUE header has been removed.
    void receive(std::span<const std::byte> inner, clock::time_point now);
    /// Makes the server cold without closing flows. Warm-up starts with its next new flow.
    void resetWarmUp();
    /// New flows per second that the server can accept now.
    double newFlowCapacity(clock::time_point now) const;
    void resetFlowsSinceMark() { m_counters.flowsSinceMark = 0; }

    const backend_server_options& options() const { return m_options; }
    const backend_counters& counters() const { return m_counters; }
    std::size_t openFlows() const { return m_openFlows; }

private:
    struct flow_state {
        /// Next byte expected from the caller.
        std::uint32_t receiveNext {};
        std::uint32_t firstSequence {};
        std::uint32_t sendNext {};
        /// The last request and the sequence number of its response, which is sent again if the caller
        /// retransmits the request.
        request lastRequest;
        std::uint32_t lastRequestSequence {};
        std::uint32_t lastResponseSequence {};
        bool isResponseReady {};
        bool isRunning {};
        /// The caller has closed the flow. Late and retransmitted packets still belong to it.
        bool isClosed {};
    };

    void receiveTcp(const core::flow_key&, const wire::segment&, clock::time_point now);
    void receiveFirstPacket(const core::flow_key&, const wire::segment&, clock::time_point now);
    void receiveData(const core::flow_key&, flow_state&, const wire::segment&, clock::time_point now);
    void receiveDatagram(const core::flow_key&, const wire::segment&, clock::time_point now);
    void receiveUnknownFlow(const core::flow_key&, const wire::segment&);
    void close(const core::flow_key&, flow_state&, const wire::segment&);
    bool admit(clock::time_point now);
    void runRequest(const request&, clock::time_point now, std::function<void()> onFinished);
    void sendResponse(const core::flow_key&, const flow_state&);
    void sendSegment(const core::flow_key&, std::uint32_t sequence, std::uint32_t acknowledgement,
        std::uint8_t flags, std::span<const std::byte> payload = {});

    backend_server_options m_options;
    std::uint32_t m_number;
    shared_backend_state& m_sharedState;
    timer_queue& m_timers;
    sender m_send;
    std::map<core::flow_key, flow_state> m_flows;
    std::size_t m_openFlows {};
    backend_counters m_counters;
    bool m_isCold {};
    /// Time of the first new flow since the server became cold.
    std::optional<clock::time_point> m_warmUpStart;
    /// Times of the new flows of the last second.
    std::deque<clock::time_point> m_recentFlows;
    /// Time at which each slot becomes free.
    std::vector<clock::time_point> m_slotFree;
};

} // namespace shallotcove::testbench
