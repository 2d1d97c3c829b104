#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// Sums up the flow counts of this host between load reports.
class load_reporter {
public:
    void addEvidence(const server_evidence&);
    /// Returns the report that is due, if any. The period grows with the number of hosts, so that the planner
    /// receives a bounded number of reports a second.
    std::optional<load_report> advance(std::size_t hosts, timestamp now);

private:
    load_report build();

    std::map<std::pair<service_id, backend_server_id>, server_load> m_loads;
    std::uint64_t m_sequence {};
    timestamp m_nextReport;
};

} // namespace shallotcove::core
