#include <shallotcove/steering/readiness.hpp>

#include <utility>

namespace shallotcove::steering {

readiness::readiness(const readiness_options& options)
    : m_options(options)
{
}

bool readiness::update(const readiness_inputs& inputs, core::timestamp now)
{
    const readiness_state newState = nextState(inputs, now);
    if (newState == m_state)
        return false;
    if (m_state == readiness_state::Isolated)
        m_isolationEndedAt = now;
    m_state = newState;
    m_since = now;
    m_isShareExceeded = false;
    return true;
}

readiness_state readiness::nextState(const readiness_inputs& inputs, core::timestamp now)
{
    if (inputs.isStopping)
        return readiness_state::Stopping;
    if (!inputs.isViewComplete)
        return readiness_state::Starting;
    if (m_state == readiness_state::Isolated) {
        const bool isOver
            = inputs.canProbeOthers ? inputs.hasProbeAnswer : now - m_since >= m_options.retryWithoutProbe;
        return isOver ? readiness_state::Ready : readiness_state::Isolated;
    }
    // After the check of an isolation, which a catch-up must not end.
    if (inputs.isCatchingUp)
        return readiness_state::CatchingUp;
    const bool isHeldReady = m_isolationEndedAt && now - *m_isolationEndedAt < m_options.holdAfterIsolation;
    if (isHeldReady || inputs.unreachableShare < m_options.unreachableShare) {
        m_isShareExceeded = false;
        return readiness_state::Ready;
    }
    if (!std::exchange(m_isShareExceeded, true))
        m_shareExceededSince = now;
    return now - m_shareExceededSince >= m_options.confirmationTime ? readiness_state::Isolated
                                                                    : readiness_state::Ready;
}

const char* textOf(readiness_state state)
{
    switch (state) {
    case readiness_state::Starting:
        return "starting";
    case readiness_state::Ready:
        return "ready";
    case readiness_state::CatchingUp:
        return "catchingUp";
    case readiness_state::Isolated:
        return "isolated";
    case readiness_state::Stopping:
        return "stopping";
    }
    return "unknown";
}

} // namespace shallotcove::steering
