#pragma once

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

struct steering_options;

/// Judges whether a backend server answers the requests that it accepts. Detects servers that open flows
/// normally but hang or lose some of the answers, which opening_evidence cannot see.
class answer_evidence {
public:
    void recordAnswer(core::timestamp now);
    /// Records a request that was not answered within the limit. Returns true if the server becomes suspect.
    bool recordTimeout(core::timestamp now, const steering_options&);
    /// Records the answer to a request that was recorded as timed out. Ends the suspicion.
    void recordLateAnswer(core::timestamp now);

    /// Whether the server is excluded from new flows. After the suspicion has passed the server is on
    /// probation: fewer time-outs make it suspect again, and for longer.
    bool isSuspect(core::timestamp now) const { return now < m_suspectUntil; }

private:
    void decay(core::timestamp now);

    /// Counts of recent requests, decaying with a half-life of one second.
    double m_answers {};
    double m_timeouts {};
    core::timestamp m_decayedAt;
    core::duration m_suspicionTime {};
    core::timestamp m_suspectUntil;
};

} // namespace shallotcove::steering
