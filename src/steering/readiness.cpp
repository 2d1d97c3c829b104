#include <shallotcove/steering/readiness.hpp>

#include <utility>

namespace shallotcove::steering {

readiness::readiness(const readiness_options& options)
    : m_options(options)
{
}

bool readiness::update(const readiness_inputs& inputs, core::timestamp now)
{
    const readiness_state chosen = next(inputs, now);
    if (chosen == m_state)
        return false;
    if (m_state == readiness_state::Isolated)
        m_isolatedUntil = now;
    m_state = chosen;
    m_since = now;
    m_isSuspecting = false;
    return true;
}

readiness_state readiness::next(const readiness_inputs& inputs, core::timestamp now)
{
    if (inputs.isStopping)
        return readiness_state::Stopping;
    if (!inputs.isInformed)
        return readiness_state::Starting;
    if (m_state == readiness_state::Isolated) {
        const bool isOver
            = inputs.canAskOthers ? inputs.othersAnswered : now - m_since >= m_options.blindRetry;
        return isOver ? readiness_state::Ready : readiness_state::Isolated;
    }
    const bool isHeld = m_isolatedUntil && now - *m_isolatedUntil < m_options.holdAfterIsolation;
    if (isHeld || inputs.unreachableShare < m_options.unreachableShare) {
        m_isSuspecting = false;
        return readiness_state::Ready;
    }
    if (!std::exchange(m_isSuspecting, true))
        m_suspectingSince = now;
    return now - m_suspectingSince >= m_options.confirmation ? readiness_state::Isolated
                                                             : readiness_state::Ready;
}

const char* textOf(readiness_state state)
{
    switch (state) {
    case readiness_state::Starting:
        return "starting";
    case readiness_state::Ready:
        return "ready";
    case readiness_state::Isolated:
        return "isolated";
    case readiness_state::Stopping:
        return "stopping";
    }
    return "unknown";
}

} // namespace shallotcove::steering
