#include "flow_counters.hpp"

#include <algorithm>
#include <utility>

namespace shallotcove::core {

namespace {

    constexpr std::uint64_t counterKey(service_id service, std::uint32_t item)
    {
        return (std::uint64_t { service.value } << 32) | item;
    }

    /// Silent flows, divided into those of which another host has probably seen a later packet, those that
    /// the allowance for random variation covers, and the rest.
    struct silent_flow_split {
        std::uint32_t seenAtOtherHosts {};
        std::uint32_t withinAllowance {};
        std::uint32_t unexplained {};
    };

    silent_flow_split splitSilentFlows(const server_counters& counters)
    {
        silent_flow_split result;
        result.seenAtOtherHosts
            = std::min(counters.silentFlows, counters.previousFlowsPlacedElsewhere.front());
        result.withinAllowance
            = std::min(counters.silentFlows - result.seenAtOtherHosts, counters.silentAllowance);
        result.unexplained = counters.silentFlows - result.seenAtOtherHosts - result.withinAllowance;
        return result;
    }

    server_evidence toEvidence(std::uint64_t key, const server_counters& counters)
    {
        const silent_flow_split silent = splitSilentFlows(counters);
        return {
            .service = { static_cast<std::uint32_t>(key >> 32) },
            .server = { static_cast<std::uint32_t>(key) },
            .newFlows = counters.newFlows,
            .retransmittedFirstPackets = counters.retransmittedFirstPackets,
            .establishedFlows = counters.establishedFlows + silent.seenAtOtherHosts,
            .silentFlows = silent.unexplained,
            .openFlows = counters.openFlows,
            .activeFlows = counters.activeFlows,
        };
    }

    /// Counters to start the next report period with.
    server_counters countersForNextReport(const server_counters& counters)
    {
        const silent_flow_split silent = splitSilentFlows(counters);
        const std::uint32_t allowance = counters.silentAllowance - silent.withinAllowance
            + counters.previousFlowsPlacedElsewhere.front() - silent.seenAtOtherHosts;
        server_counters next;
        std::copy(counters.previousFlowsPlacedElsewhere.begin() + 1,
            counters.previousFlowsPlacedElsewhere.end(), next.previousFlowsPlacedElsewhere.begin());
        next.previousFlowsPlacedElsewhere.back() = counters.flowsPlacedElsewhere;
        next.silentAllowance = std::min(allowance, maximumSilentAllowance);
        next.openFlows = counters.openFlows;
        next.activeFlows = counters.activeFlows;
        next.activeFlowsInScan = counters.activeFlowsInScan;
        return next;
    }

} // namespace

server_counters& flow_counters::server(service_id service, backend_server_id server)
{
    return m_servers[counterKey(service, server.value)];
}

server_counters* flow_counters::findServer(service_id service, backend_server_id server)
{
    const auto found = m_servers.find(counterKey(service, server.value));
    return found == m_servers.end() ? nullptr : &found->second;
}

class_counters& flow_counters::callerClass(service_id service, std::uint32_t index)
{
    return m_classes[counterKey(service, index)];
}

void flow_counters::beginActiveScan()
{
    for (auto& [key, counters] : m_servers)
        counters.activeFlowsInScan = 0;
}

void flow_counters::endActiveScan()
{
    for (auto& [key, counters] : m_servers)
        counters.activeFlows = counters.activeFlowsInScan;
}

void flow_counters::report(packet_engine_output& output)
{
    for (auto& [key, counters] : m_servers) {
        const bool hasActivity = counters.newFlows + counters.retransmittedFirstPackets
                + counters.establishedFlows + counters.silentFlows + counters.openFlows
            > 0;
        if (hasActivity)
            output.servers.push_back(toEvidence(key, counters));
        counters = countersForNextReport(counters);
    }
    for (auto& [key, counters] : m_classes) {
        if (counters.newFlows + counters.refused > 0)
            output.classes.push_back({ { static_cast<std::uint32_t>(key >> 32) },
                static_cast<std::uint32_t>(key), counters.newFlows, counters.refused });
        counters = {};
    }
}

} // namespace shallotcove::core
