#include <shallotcove/steering/data_centre_evidence.hpp>

#include <algorithm>

#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

bool data_centre_evidence::recordUnanswered(
    server_tag server, core::timestamp now, const steering_options& options)
{
    if (std::find(m_silent.begin(), m_silent.end(), server) == m_silent.end())
        m_silent.push_back(server);
    if (m_silent.size() < options.silentServersUntilSuspect)
        return false;
    return m_evidence.recordUnanswered(now, 1, options);
}

bool data_centre_evidence::recordAnswered()
{
    m_silent.clear();
    return m_evidence.recordAnswered();
}

} // namespace shallotcove::steering
