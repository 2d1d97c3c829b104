#include <shallotcove/steering/neighbour_loads.hpp>

#include <algorithm>

#include <shallotcove/steering/server_directory.hpp>

namespace shallotcove::steering {

template <typename Reporter>
neighbour_loads<Reporter>::neighbour_loads(load_field total, core::duration lifetime)
    : m_total(total)
    , m_lifetime(lifetime)
{
}

template <typename Reporter>
void neighbour_loads<Reporter>::apply(
    const Reporter& reporter, const load_report& loads, server_directory& servers, core::timestamp now)
{
    received_report& report = m_reports[reporter];
    subtract(report.loads, servers);
    report = { {}, now };
    for (const server_load& load : loads) {
        server_record* const record = servers.find(load.server);
        if (record == nullptr)
            continue;
        record->*m_total += load.openFlows;
        report.loads.push_back(load);
    }
}

template <typename Reporter>
void neighbour_loads<Reporter>::expire(server_directory& servers, core::timestamp now)
{
    std::erase_if(m_reports, [&](const auto& item) {
        if (now - item.second.receivedAt < m_lifetime)
            return false;
        subtract(item.second.loads, servers);
        return true;
    });
}

template <typename Reporter>
void neighbour_loads<Reporter>::subtract(const load_report& loads, server_directory& servers) const
{
    for (const server_load& load : loads) {
        server_record* const record = servers.find(load.server);
        // A record that was dropped and created again starts at zero, so the report may exceed its total.
        if (record != nullptr)
            record->*m_total -= std::min(record->*m_total, load.openFlows);
    }
}

template class neighbour_loads<std::uint32_t>;
template class neighbour_loads<std::string>;

} // namespace shallotcove::steering
