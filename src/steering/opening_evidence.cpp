#include <shallotcove/steering/opening_evidence.hpp>

#include <algorithm>
#include <utility>

#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

bool opening_evidence::recordUnanswered(
    core::timestamp now, std::uint32_t threshold, const steering_options& options)
{
    ++m_unanswered;
    if (m_isSuspect && !m_isTrialPending)
        return false;
    if (!m_isSuspect && m_unanswered < threshold)
        return false;
    m_suspicionTime = m_isSuspect ? std::min(2 * m_suspicionTime, options.maximumSuspicionTime)
                                  : options.minimumSuspicionTime;
    m_suspectUntil = now + m_suspicionTime;
    m_isTrialPending = false;
    return !std::exchange(m_isSuspect, true);
}

bool opening_evidence::recordAnswered()
{
    const bool wasSuspect = m_isSuspect;
    reset();
    return wasSuspect;
}

void opening_evidence::recordPlacement(core::timestamp now)
{
    if (!m_isSuspect || now < m_suspectUntil)
        return;
    m_isTrialPending = true;
    // A trial can remain without a result, for example if its caller leaves. Another one is admitted after
    // the same time.
    m_suspectUntil = now + m_suspicionTime;
}

bool opening_evidence::admits(core::timestamp now) const { return !m_isSuspect || now >= m_suspectUntil; }

} // namespace shallotcove::steering
