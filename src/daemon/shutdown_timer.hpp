#pragma once

#include <algorithm>
#include <optional>

#include <shallotcove/core/time.hpp>
#include <shallotcove/daemon/host.hpp>

namespace shallotcove::daemon {

struct shutdown_timer_options {
    core::duration quietPeriod { std::chrono::seconds { 2 } };
    core::duration timeout { std::chrono::seconds { 30 } };
};

/// Decides when a graceful shutdown ends: after the fabric has been quiet for a period, or at the timeout.
class shutdown_timer {
public:
    explicit shutdown_timer(const shutdown_timer_options& options)
        : m_options(options)
    {
    }

    /// Returns false and changes nothing if the shutdown was started before.
    bool start(core::timestamp now)
    {
        if (m_startedAt)
            return false;
        m_startedAt = now;
        return true;
    }

    core::duration elapsed(core::timestamp now) const
    {
        return m_startedAt ? now - *m_startedAt : core::duration {};
    }

    shutdown_state state(core::timestamp lastFabricPacket, core::timestamp now) const
    {
        if (!m_startedAt)
            return shutdown_state::Running;
        if (now - std::max(*m_startedAt, lastFabricPacket) >= m_options.quietPeriod)
            return shutdown_state::Quiet;
        return now - *m_startedAt >= m_options.timeout ? shutdown_state::TimedOut : shutdown_state::Draining;
    }

private:
    shutdown_timer_options m_options;
    std::optional<core::timestamp> m_startedAt;
};

} // namespace shallotcove::daemon
