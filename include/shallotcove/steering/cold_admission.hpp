#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

/// Shares the limit of a cold backend server among the hosts without talking to them: each host knows who the
/// others are and takes its part. Hosts that know fewer others take more, so departed hosts are counted for
/// long.
class cold_admission {
public:
    /// Sorted addresses of all hosts that may place flows, this one included.
    void setHosts(std::vector<std::uint32_t> hosts, std::uint32_t self);
    /// Assumes so many hosts in all while fewer are known.
    void setMinimumHosts(std::size_t count) { m_minimumHosts = count; }

    /// Whether this host may place a flow now on a cold server that bears so many new flows a second.
    bool admits(server_tag, double flowsPerSecond, core::timestamp now);
    void recordPlacement(server_tag, core::timestamp now);
    void forget(server_tag server) { m_placements.erase(server); }

    /// New flows in any one second that are this host's part.
    std::size_t shareOf(server_tag, double flowsPerSecond) const;

private:
    std::vector<std::uint32_t> m_hosts;
    std::uint32_t m_self {};
    std::size_t m_minimumHosts { 1 };
    std::unordered_map<server_tag, std::deque<core::timestamp>> m_placements;
};

} // namespace shallotcove::steering
