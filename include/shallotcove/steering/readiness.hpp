#pragma once

#include <cstdint>
#include <optional>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

struct readiness_options {
    /// Share of new flows with unreachable servers from which on a host asks to get no more callers.
    double unreachableShare { 0.5 };
    /// The share has to hold this long.
    core::duration confirmation { std::chrono::milliseconds { 100 } };
    /// A host that knows no other way to find out takes callers again after this time.
    core::duration blindRetry { std::chrono::milliseconds { 1500 } };
    /// After an isolation a host stays ready this long, so that routers are not sent back and forth, and the
    /// hosts of a fleet whose servers are all down stay in use.
    core::duration holdAfterIsolation { std::chrono::milliseconds { 2000 } };
};

enum class readiness_state : std::uint8_t {
    /// Configuration or servers are not known yet.
    Starting,
    Ready,
    /// The servers cannot be reached from here, though others may reach them.
    Isolated,
    Stopping,
};

/// What the decision rests on.
struct readiness_inputs {
    bool isInformed {};
    bool isStopping {};
    double unreachableShare {};
    /// Whether the host can ask hosts near the servers, and whether one answered since it is isolated.
    bool canAskOthers {};
    bool othersAnswered {};
};

/// Decides whether the routers should send callers to this host.
class readiness {
public:
    explicit readiness(const readiness_options& options = {});

    /// True if the state changed.
    bool update(const readiness_inputs&, core::timestamp now);

    readiness_state state() const { return m_state; }
    /// When the state began.
    core::timestamp since() const { return m_since; }

private:
    readiness_state next(const readiness_inputs&, core::timestamp now);

    readiness_options m_options;
    readiness_state m_state { readiness_state::Starting };
    core::timestamp m_since;
    std::optional<core::timestamp> m_isolatedUntil;
    bool m_isSuspecting {};
    core::timestamp m_suspectingSince;
};

const char* textOf(readiness_state);

} // namespace shallotcove::steering
