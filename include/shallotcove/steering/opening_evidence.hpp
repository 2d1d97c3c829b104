#pragma once

#include <cstdint>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

struct steering_options;

/// Judges whether a backend server can be reached, by the opening packets that were sent to it: the caller's
/// acknowledgement shows that the server answered.
class opening_evidence {
public:
    /// True if the server became suspect by this, the threshold-th unanswered packet in a row.
    bool recordUnanswered(core::timestamp now, std::uint32_t threshold, const steering_options&);
    /// True if the server was suspect until now.
    bool recordAnswered();
    /// A new flow is placed; after a suspicion has passed it is the one trial.
    void recordPlacement(core::timestamp now);
    /// A server that started anew has no record.
    void reset() { *this = {}; }

    /// Whether the server gets new flows: it is trusted, or its suspicion has passed since it began or since
    /// the last trial.
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
