#include <shallotcove/steering/request_rate.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace shallotcove::steering {

namespace {

    constexpr double halfLifeSeconds = 10;
    // A longer interval means that the host was paused and saw none of the requests.
    constexpr double maximumIntervalSeconds = 1;
    // With less time observed, a single request would decide the rate.
    constexpr double minimumFlowSeconds = 2;
    // After a start many flows are open and few open anew, so that the measured number is too high. Larger
    // numbers do not spread flows more evenly.
    constexpr double maximumPerLifetime = 32;

} // namespace

void request_rate::advance(double openFlows, core::timestamp now)
{
    const core::duration elapsed = m_lastAdvance ? now - *m_lastAdvance : core::duration::zero();
    m_lastAdvance = now;
    const double seconds
        = std::min(std::chrono::duration<double> { elapsed }.count(), maximumIntervalSeconds);
    const double remaining = std::exp2(-seconds / halfLifeSeconds);
    m_requests *= remaining;
    m_flows *= remaining;
    m_flowSeconds = remaining * m_flowSeconds + openFlows * seconds;
}

double request_rate::perSecondAndFlow() const
{
    return m_flowSeconds < minimumFlowSeconds ? 0.0 : m_requests / m_flowSeconds;
}

double request_rate::perLifetime() const
{
    return std::clamp(m_requests / std::max(1.0, m_flows), 1.0, maximumPerLifetime);
}

} // namespace shallotcove::steering
