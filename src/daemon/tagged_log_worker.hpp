#pragma once

#include <cstddef>
#include <cstdint>

#include <shallotcove/core/time.hpp>
#include <shallotcove/core/token_bucket.hpp>
#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/metrics.hpp>
#include <shallotcove/daemon/tagged_channels.hpp>

namespace shallotcove::daemon {

/// Writes the lines of the other threads, so that a full pipe delays nobody else, and counts what they tell.
class tagged_log_worker {
public:
    tagged_log_worker(event_log&, metrics&, tagged_channels&, std::size_t linesPerSecond);

    /// Writes what is waiting. False if there was nothing.
    bool runOnce();

private:
    bool writeNotes();
    bool writeTasks();
    void write(const steering::steering_note&);
    void write(const readiness_change&);
    void write(const host_pause&);
    void count(const steering::steering_note&);
    /// Whether the limit allows one more line.
    bool mayWrite();
    void reportDropped();

    event_log& m_log;
    metrics& m_metrics;
    tagged_channels& m_channels;
    core::token_bucket m_budget;
    std::uint64_t m_dropped {};
    core::timestamp m_nextReport;
};

} // namespace shallotcove::daemon
