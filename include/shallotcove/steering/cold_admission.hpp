#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

/// Divides the flow limit of a cold backend server among the hosts without communication: each host knows the
/// list of hosts and computes its own share. A host that knows fewer of the others takes a larger share, so
/// departed hosts stay in the list for a long time.
class cold_admission {
public:
    /// Sorted addresses of all hosts that may place flows, this one included.
    void setHosts(std::vector<std::uint32_t> hosts, std::uint32_t self);
    /// Assumes at least this many hosts in total, even if fewer are known.
    void setMinimumHosts(std::size_t count) { m_minimumHosts = count; }

    /// Whether this host may now place a flow on a cold server whose limit is flowsPerSecond new flows per
    /// second over all hosts.
    bool admits(server_tag, double flowsPerSecond, core::timestamp now);
    void recordPlacement(server_tag, core::timestamp now);
    void forget(server_tag server) { m_placements.erase(server); }

    /// New flows that this host may place on the server in any one second.
    std::size_t shareOf(server_tag, double flowsPerSecond) const;

private:
    std::vector<std::uint32_t> m_hosts;
    std::uint32_t m_self {};
    std::size_t m_minimumHosts { 1 };
    std::unordered_map<server_tag, std::deque<core::timestamp>> m_placements;
};

} // namespace shallotcove::steering
