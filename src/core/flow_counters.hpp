#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include <shallotcove/core/packet_engine.hpp>

namespace shallotcove::core {

/// Largest allowance for silent flows. At a few flows a second, the counts of silent flows and of flows
/// placed elsewhere vary randomly even if the server is healthy; without an allowance, some of nine hosts
/// took one of 14 servers for cold every few seconds. The allowance is small, because it hides the first
/// silent flows of a server that fails.
inline constexpr std::uint32_t maximumSilentAllowance = 6;

/// Number of reports from the placement of a flow until it counts as silent.
inline constexpr std::size_t reportsUntilSilent = 5;

/// Counters of one backend server. Packets of a flow may enter at any host, so the later packets of a flow
/// that was placed here may be seen at another host only. flowsPlacedElsewhere counts the opposite case:
/// flows whose first packet went through another host and of which a later packet came here. Summed over all
/// hosts, these flows make up for those that look silent to the host that placed them.
struct server_counters {
    std::uint32_t newFlows {};
    std::uint32_t retransmittedFirstPackets {};
    std::uint32_t establishedFlows {};
    std::uint32_t silentFlows {};
    std::uint32_t flowsPlacedElsewhere {};
    /// Values of flowsPlacedElsewhere in earlier reports, oldest first.
    std::array<std::uint32_t, reportsUntilSilent> previousFlowsPlacedElsewhere {};
    /// Number of silent flows that reports still leave out. Grows by the flows placed elsewhere in excess of
    /// the silent ones.
    std::uint32_t silentAllowance { maximumSilentAllowance };
    std::uint32_t openFlows {};
    /// Active flows that the last complete scan found, and those that the running scan has found so far.
    std::uint32_t activeFlows {};
    std::uint32_t activeFlowsInScan {};
};

struct class_counters {
    std::uint32_t newFlows {};
    std::uint32_t refused {};
};

/// Counters of all backend servers and caller classes. References to them stay valid. Only server() and
/// callerClass() allocate counters.
class flow_counters {
public:
    server_counters& server(service_id, backend_server_id);
    /// Null unless server() was called for this server before.
    server_counters* findServer(service_id, backend_server_id);
    class_counters& callerClass(service_id, std::uint32_t index);

    void beginActiveScan();
    void endActiveScan();

    /// Appends the counters of servers and caller classes with activity since the last report and starts the
    /// next report period.
    void report(packet_engine_output&);

private:
    std::unordered_map<std::uint64_t, server_counters> m_servers;
    std::unordered_map<std::uint64_t, class_counters> m_classes;
};

} // namespace shallotcove::core
