#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include <shallotcove/core/time.hpp>
#include <shallotcove/core/token_bucket.hpp>
#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/metrics.hpp>
#include <shallotcove/daemon/tagged_channels.hpp>

namespace shallotcove::daemon {

/// Writes the log lines of the other threads, so that a full pipe blocks only the log thread, and updates the
/// metrics that are derived from steering events.
class tagged_log_worker {
public:
    tagged_log_worker(event_log&, metrics&, tagged_channels&, std::size_t linesPerSecond);

    /// Writes the lines that are waiting; returns false if there were none.
    bool runOnce();

private:
    /// Service and data centre.
    using room_labels = std::pair<std::string, std::string>;

    bool writeEvents();
    bool writeTasks();
    void write(const steering::steering_event&);
    void write(const readiness_change&);
    void write(const host_pause&);
    void write(const room_report&);
    void setRoom(const room_labels&, const steering::service_room&);
    void count(const steering::steering_event&);
    /// Takes one line from the rate limit; counts the line as dropped and returns false if the limit is used
    /// up.
    bool tryTakeLine();
    void reportDropped();

    event_log& m_log;
    metrics& m_metrics;
    tagged_channels& m_channels;
    core::token_bucket m_lineBudget;
    std::uint64_t m_droppedLines {};
    core::timestamp m_nextReport;
    /// Rooms in the last report, and all that ever had metrics.
    std::set<room_labels> m_currentRooms;
    std::set<room_labels> m_knownRooms;
};

} // namespace shallotcove::daemon
