#include <shallotcove/steering/neighbour_loads.hpp>

#include <algorithm>
#include <iterator>

#include <shallotcove/steering/server_directory.hpp>

namespace shallotcove::steering {

neighbour_loads::neighbour_loads(core::duration lifetime)
    : m_lifetime(lifetime)
{
}

void neighbour_loads::apply(
    std::uint32_t hostAddress, const load_report& loads, server_directory& servers, core::timestamp now)
{
    dated_report& report = m_reports[hostAddress];
    subtract(report.loads, servers);
    report = { {}, now };
    for (const server_load& load : loads) {
        server_record* const record = servers.find(load.server);
        if (record == nullptr)
            continue;
        record->neighbourFlows += load.openFlows;
        report.loads.push_back(load);
    }
}

void neighbour_loads::expire(server_directory& servers, core::timestamp now)
{
    std::erase_if(m_reports, [&](const auto& known) {
        if (now - known.second.at < m_lifetime)
            return false;
        subtract(known.second.loads, servers);
        return true;
    });
}

std::size_t neighbour_loads::hostsBefore(std::uint32_t hostAddress) const
{
    return static_cast<std::size_t>(std::distance(m_reports.begin(), m_reports.lower_bound(hostAddress)));
}

void neighbour_loads::subtract(const load_report& loads, server_directory& servers)
{
    for (const server_load& load : loads) {
        server_record* const record = servers.find(load.server);
        // A record that was forgotten and made anew counts from zero.
        if (record != nullptr)
            record->neighbourFlows -= std::min(record->neighbourFlows, load.openFlows);
    }
}

} // namespace shallotcove::steering
