#pragma once

#include <cstdint>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

struct steering_options;

/// Judges whether a backend server can be reached, from the opening packets that were sent to it. The server
/// has answered one when its caller acknowledges the answer.
class opening_evidence {
public:
    /// Records an unanswered opening packet. Returns true if the server becomes suspect, which takes
    /// threshold unanswered packets in a row.
    bool recordUnanswered(core::timestamp now, std::uint32_t threshold, const steering_options&);
    /// Records an answer, which ends any suspicion. Returns true if the server was suspect.
    bool recordAnswered();
    /// Records a new flow for the server. The first one after the suspicion time is the trial of a suspect
    /// server.
    void recordPlacement(core::timestamp now);
    /// Discards all evidence, for a server that was restarted.
    void reset() { *this = {}; }

    /// Whether the server gets new flows: it is not suspect, or the suspicion time has passed since the
    /// suspicion began or since the last trial.
    bool admits(core::timestamp now) const;
    bool isSuspect() const { return m_isSuspect; }
    std::uint32_t unanswered() const { return m_unanswered; }

private:
    std::uint32_t m_unanswered {};
    bool m_isSuspect {};
    bool m_isTrialPending {};
    core::timestamp m_suspectUntil;
    core::duration m_suspicionTime {};
};

} // namespace shallotcove::steering
