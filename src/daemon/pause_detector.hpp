#pragma once

#include <chrono>
#include <ctime>
#include <optional>

namespace shallotcove::daemon {

/// After a pause of this length callers have repeated their first packets, routers use other hosts, and
/// changes of the store were missed.
inline constexpr std::chrono::milliseconds minimumPause { 1000 };

/// Detects that a thread did not run, from the times of its rounds. The thread must begin a round much more
/// often than minimumPause.
class pause_detector {
public:
    /// Time on CLOCK_BOOTTIME, the only clock that includes the time in which the machine was suspended.
    static std::chrono::nanoseconds now()
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec };
    }

    /// Begins a round. Time that the thread has spent since the last round is not a pause if it is known to
    /// have been spent on work.
    void beginRound(std::chrono::nanoseconds now) { m_lastRoundAt = now; }

    /// Length of the pause since the last round; nothing if there was none, or no round yet.
    std::optional<std::chrono::milliseconds> pauseBefore(std::chrono::nanoseconds now) const
    {
        if (!m_lastRoundAt || now - *m_lastRoundAt < minimumPause)
            return std::nullopt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_lastRoundAt);
    }

    /// Whether a round was begun.
    bool isRunning() const { return m_lastRoundAt.has_value(); }

private:
    std::optional<std::chrono::nanoseconds> m_lastRoundAt;
};

} // namespace shallotcove::daemon
