#include <shallotcove/steering/cold_admission.hpp>

#include <algorithm>

#include <xxhash.h>

namespace shallotcove::steering {

namespace {

    constexpr std::chrono::seconds window { 1 };

    std::uint64_t rankOf(std::uint32_t host, server_tag server)
    {
        const std::uint32_t parts[] { host, server.value };
        return XXH64(parts, sizeof parts, 0);
    }

} // namespace

void cold_admission::setHosts(std::vector<std::uint32_t> hosts, std::uint32_t self)
{
    m_hosts = std::move(hosts);
    m_self = self;
}

std::size_t cold_admission::shareOf(server_tag server, double flowsPerSecond) const
{
    const std::size_t total = static_cast<std::size_t>(std::max(0.0, flowsPerSecond));
    const std::size_t hosts = std::max({ m_hosts.size(), m_minimumHosts, std::size_t { 1 } });
    // The remainder of the division goes to the hosts with the lowest rank for this server.
    const std::uint64_t ownRank = rankOf(m_self, server);
    const std::size_t lowerRanked = static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(),
        [&](std::uint32_t host) { return host != m_self && rankOf(host, server) < ownRank; }));
    return total / hosts + (lowerRanked < total % hosts ? 1 : 0);
}

bool cold_admission::admits(server_tag server, double flowsPerSecond, core::timestamp now)
{
    std::deque<core::timestamp>& placements = m_placements[server];
    while (!placements.empty() && now - placements.front() > window)
        placements.pop_front();
    return placements.size() < shareOf(server, flowsPerSecond);
}

void cold_admission::recordPlacement(server_tag server, core::timestamp now)
{
    m_placements[server].push_back(now);
}

} // namespace shallotcove::steering
