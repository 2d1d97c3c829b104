#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <shallotcove/core/control_engine.hpp>
#include <shallotcove/core/routing_snapshot.hpp>
#include <shallotcove/daemon/channels.hpp>
#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/metrics.hpp>

#include "peer_port.hpp"

namespace shallotcove::daemon {

/// Writes events and updates metrics from snapshots, packet reports and the counters of the host.
class fleet_reporter {
public:
    fleet_reporter(event_log&, metrics&, channels&);

    void handleSnapshot(const core::control_engine&, std::shared_ptr<const core::routing_snapshot>);
    void handleUnreadable(const core::control_engine&, const std::vector<std::string>& keys);
    void handlePacketReport(const packet_report&);
    /// Refreshes metrics once a second and writes summaries of drops at most once in 10 s.
    void advance(const core::control_engine&, const peer_port_counters&, core::timestamp now);

private:
    void reportMembers(const std::vector<core::member>&);
    void refreshPacketMetrics();
    void refreshPeerMetrics(const core::control_engine&, const peer_port_counters&);
    void refreshEpochs();
    void reportDrops(const peer_port_counters&);
    /// The increase of a total since the last call for the same counter.
    std::uint64_t increaseSinceSummary(const std::string& counterName, std::uint64_t total);
    std::string serviceName(core::service_id) const;
    std::string className(core::service_id, std::uint32_t index) const;

    event_log& m_log;
    metrics& m_metrics;
    channels& m_channels;
    std::shared_ptr<const core::routing_snapshot> m_snapshot;
    std::map<core::host_id, core::member> m_members;
    std::map<std::string, std::uint64_t> m_reportedTotals;
    core::timestamp m_nextRefresh;
    core::timestamp m_nextSummary;
};

} // namespace shallotcove::daemon
