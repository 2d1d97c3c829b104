#pragma once

#include <cstdint>
#include <optional>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/routing_snapshot.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// Input of sync_tracker::advance().
struct sync_input {
    config_index applied;
    /// Highest applied index of members that may be serving.
    config_index highestApplied;
    /// Whether every host that could be a member has been probed often enough.
    bool hasTriedContacts {};
};

/// Decides whether this host's view of members, limits and configuration is recent enough to place flows.
class sync_tracker {
public:
    explicit sync_tracker(duration isolationTimeout);

    /// Handles a pause of this host, after which its view may be outdated.
    void handlePause(timestamp now);
    /// Handles an answer of a peer to a probe. hadUpdates: it contained members or limits unknown to this
    /// host.
    void handleAnswer(bool hadUpdates, timestamp now);
    void advance(const sync_input&, timestamp now);

    sync_state state() const { return m_state; }

private:
    void enter(sync_state, timestamp now);

    duration m_isolationTimeout;
    sync_state m_state { sync_state::Starting };
    std::optional<timestamp> m_lastAnswer;
    std::optional<timestamp> m_since;
    /// Consecutive answers without updates.
    std::uint32_t m_answersWithoutUpdates {};
};

} // namespace shallotcove::core
