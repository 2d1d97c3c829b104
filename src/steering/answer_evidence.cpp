#include <shallotcove/steering/answer_evidence.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

namespace {

    constexpr std::chrono::duration<double> halfLife { 1.0 };
    // One request can time out because its caller left or continued through another host, so a single
    // time-out is not enough outside of a probation.
    constexpr double minimumTimeouts = 1.5;
    constexpr double minimumTimeoutsOnProbation = 0.9;
    constexpr double minimumTimeoutShare = 0.25;
    // Length of the probation after a suspicion.
    constexpr std::chrono::seconds probation { 8 };

} // namespace

void answer_evidence::recordAnswer(core::timestamp now)
{
    decay(now);
    m_answers += 1;
}

bool answer_evidence::recordTimeout(core::timestamp now, const steering_options& options)
{
    decay(now);
    m_timeouts += 1;
    const bool isOnProbation = m_suspicionTime > core::duration::zero() && now - m_suspectUntil < probation;
    const bool isFrequent = m_timeouts >= (isOnProbation ? minimumTimeoutsOnProbation : minimumTimeouts)
        && m_timeouts >= minimumTimeoutShare * (m_timeouts + m_answers);
    if (isSuspect(now) || !isFrequent)
        return false;
    m_suspicionTime = isOnProbation ? std::min(2 * m_suspicionTime, options.maximumSuspicionTime)
                                    : options.minimumSuspicionTime;
    m_suspectUntil = now + m_suspicionTime;
    return true;
}

void answer_evidence::recordLateAnswer(core::timestamp now)
{
    decay(now);
    m_timeouts = std::max(0.0, m_timeouts - 1);
    m_answers += 1;
    m_suspectUntil = std::min(m_suspectUntil, now);
}

void answer_evidence::decay(core::timestamp now)
{
    const double factor = std::exp2(-std::chrono::duration<double> { now - m_decayedAt } / halfLife);
    m_answers *= factor;
    m_timeouts *= factor;
    m_decayedAt = now;
}

} // namespace shallotcove::steering
