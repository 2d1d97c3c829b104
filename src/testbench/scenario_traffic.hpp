#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/service_config.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::testbench {

inline constexpr std::uint64_t scenarioFlowsPerSecond = 200;

/// Statistics of the flows of one run.
struct traffic_report {
    std::uint64_t established {};
    std::uint64_t broken {};
    std::uint64_t refused {};
    /// Flows abandoned before they were established, without a refusal.
    std::uint64_t unanswered {};
    /// Largest ratio of open flows to capacity of a server, divided by the mean ratio and averaged over the
    /// last seconds.
    double imbalance {};
    /// The imbalance 10 s after the capacity of a server was halved (mean of seconds 9 to 11).
    double imbalanceAfterHalving {};
    /// Seconds from the halving until the imbalance was first below 1.25.
    double secondsToRecover {};
    /// First packets at the halved server divided by what it can accept, in seconds 2 to 10 after the
    /// halving.
    double excessAfterHalving {};
    /// Largest number of new flows in a second at a cold server, divided by what it can handle.
    double peakColdLoad {};
    /// Seconds from the beginning of a cold start until the last new flow beyond what the server can handle.
    double lastColdExcess {};
    /// Seconds from the time when a data centre was taken out until the last packet into it.
    double lastPacketToDataCentreOut {};
};

/// Simulated callers and backend servers of one service.
class scenario_traffic {
public:
    scenario_traffic(const core::socket_address& service, std::uint64_t seed);

    /// Opens a flow; returns its number.
    std::uint32_t openFlow(core::timestamp now);
    /// Packet 0 of a flow is its first packet.
    core::packet_summary packet(std::uint32_t flow, std::uint32_t number) const;
    bool isDelivered(std::uint32_t flow, std::uint32_t number) const;
    /// Delivers a packet to a server. Returns the time until the flow's next packet, if there is one.
    std::optional<core::duration> deliver(
        std::uint32_t flow, std::uint32_t number, core::backend_server_id, core::timestamp now);
    void refuse(std::uint32_t flow, std::uint32_t number);
    /// Ends a flow whose caller has retransmitted a packet too often.
    void abandon(std::uint32_t flow);

    /// Adds or updates a server. isCold applies only to a new server.
    void addOrUpdateServer(const core::backend_server&, bool isCold, core::timestamp now);
    /// Makes a server cold.
    void turnCold(core::backend_server_id, core::timestamp now);
    bool hasServer(core::backend_server_id id) const { return m_servers.contains(id); }
    void halveCapacity(core::backend_server_id, core::timestamp now);
    void doubleFlowDurations(core::backend_server_id);
    void setDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now);
    /// Samples the imbalance; to be called once a second.
    void sampleImbalance();
    traffic_report report(std::uint32_t measuredSeconds) const;

private:
    struct caller_flow {
        core::backend_server_id server;
        core::timestamp end;
        std::uint32_t delivered {};
        bool isFinished {};
        bool wasInDataCentreOut {};
    };
    struct server_load {
        core::backend_server server;
        bool isCold {};
        core::timestamp coldSince;
        std::uint32_t currentSecond {};
        std::uint32_t newFlowsInSecond {};
        std::int64_t openFlows {};
        bool isHalved {};
        bool isSlow {};
        /// New flows per second that a halved server accepts.
        double halvedRate {};
    };
    struct capacity_halving {
        core::timestamp at;
        std::size_t sampleIndex {};
        double capacity {};
        std::uint32_t firstPackets {};
    };

    static double capacityOf(const server_load&);

    bool acceptFirstPacket(server_load&, core::timestamp now);
    void finishFlow(caller_flow&);
    void breakFlow(caller_flow&);
    double random() { return m_random(1U << 24) / double(1U << 24); }

    core::socket_address m_service;
    pcg32 m_random;
    std::vector<caller_flow> m_flows;
    std::map<core::backend_server_id, server_load> m_servers;
    std::map<std::string, core::timestamp> m_dataCentreOutSince;
    std::vector<double> m_imbalances;
    std::optional<capacity_halving> m_halving;
    traffic_report m_report;
};

} // namespace shallotcove::testbench
