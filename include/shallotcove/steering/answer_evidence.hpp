#pragma once

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

struct steering_options;

/// Judges whether a backend server answers the requests that it takes. Answers servers that accept flows and
/// look well, but hang or lose a part of the answers.
class answer_evidence {
public:
    void recordAnswer(core::timestamp now);
    /// A request had no answer for much longer than usual. True if the server became suspect by this.
    bool recordTimeout(core::timestamp now, const steering_options&);
    /// A request that was taken for unanswered was answered after all.
    void recordLateAnswer(core::timestamp now);

    /// A suspect server gets no new flows until the given time, then some, and a shorter trial.
    bool isSuspect(core::timestamp now) const { return now < m_suspectUntil; }

private:
    void decay(core::timestamp now);

    /// Requests of late; a request counts half after a second.
    double m_answers {};
    double m_timeouts {};
    core::timestamp m_decayedAt;
    core::duration m_suspicionTime {};
    core::timestamp m_suspectUntil;
};

} // namespace shallotcove::steering
