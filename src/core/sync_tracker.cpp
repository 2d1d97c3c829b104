#include "sync_tracker.hpp"

#include <algorithm>

namespace shallotcove::core {

namespace {

    // A starting host knows no members and no limits. Each answer carries a few that its receiver does not
    // know; two consecutive answers without any mean that hardly any is missing.
    constexpr std::uint32_t answersBeforeStart = 2;

} // namespace

sync_tracker::sync_tracker(duration isolationTimeout)
    : m_isolationTimeout(isolationTimeout)
{
}

void sync_tracker::enter(sync_state state, timestamp now)
{
    m_state = state;
    m_since = now;
    m_lastAnswer.reset();
    m_answersWithoutUpdates = 0;
}

void sync_tracker::handlePause(timestamp now)
{
    if (m_state != sync_state::Starting)
        enter(sync_state::Unsynchronized, now);
}

void sync_tracker::handleAnswer(bool hadUpdates, timestamp now)
{
    if (m_state == sync_state::Isolated)
        enter(sync_state::Unsynchronized, now);
    m_lastAnswer = now;
    m_answersWithoutUpdates = hadUpdates ? 0 : m_answersWithoutUpdates + 1;
}

void sync_tracker::advance(const sync_input& view, timestamp now)
{
    if (!m_since)
        m_since = now;
    const bool isUndecided = m_state == sync_state::Starting || m_state == sync_state::Unsynchronized;
    const bool hasConfiguration = view.applied.value > 0;
    if (!isUndecided || !hasConfiguration)
        return;
    const bool hasAskedAll = m_state == sync_state::Unsynchronized || view.hasTriedContacts;
    const std::uint32_t requiredAnswers = m_state == sync_state::Starting ? answersBeforeStart : 1;
    if (hasAskedAll && m_answersWithoutUpdates >= requiredAnswers && view.applied >= view.highestApplied)
        enter(sync_state::Synchronized, now);
    else if (now - std::max(*m_since, m_lastAnswer.value_or(*m_since)) >= m_isolationTimeout)
        enter(sync_state::Isolated, now);
}

} // namespace shallotcove::core
