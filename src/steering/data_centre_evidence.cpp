#include <shallotcove/steering/data_centre_evidence.hpp>

#include <algorithm>

#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

bool data_centre_evidence::recordUnanswered(
    server_tag server, std::size_t servers, core::timestamp now, const steering_options& options)
{
    if (std::find(m_unresponsive.begin(), m_unresponsive.end(), server) == m_unresponsive.end())
        m_unresponsive.push_back(server);
    const double share
        = static_cast<double>(m_unresponsive.size()) / static_cast<double>(std::max<std::size_t>(1, servers));
    if (m_unresponsive.size() < options.unresponsiveServersUntilSuspect
        || share < options.unresponsiveShareUntilSuspect)
        return false;
    return m_evidence.recordUnanswered(now, 1, options);
}

bool data_centre_evidence::recordAnswered()
{
    m_unresponsive.clear();
    return m_evidence.recordAnswered();
}

} // namespace shallotcove::steering
