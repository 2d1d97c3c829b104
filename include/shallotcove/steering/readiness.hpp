#pragma once

#include <cstdint>
#include <optional>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/packet_decision.hpp>
#include <shallotcove/steering/readiness_inputs.hpp>
#include <shallotcove/steering/readiness_options.hpp>

namespace shallotcove::steering {

enum class readiness_state : std::uint8_t {
    /// The configuration or the servers are not known yet.
    Starting,
    Ready,
    /// The view of the store is known to be outdated and is being read again.
    CatchingUp,
    /// The servers cannot be reached from this host, though other hosts may reach them.
    Isolated,
    Stopping,
};

/// Decides whether the routers should send callers to this host.
class readiness {
public:
    explicit readiness(const readiness_options& options = {});

    /// Returns whether the state changed.
    bool update(const readiness_inputs&, core::timestamp now);

    readiness_state state() const { return m_state; }
    /// When the current state was entered.
    core::timestamp since() const { return m_since; }

private:
    readiness_state nextState(const readiness_inputs&, core::timestamp now);

    readiness_options m_options;
    readiness_state m_state { readiness_state::Starting };
    core::timestamp m_since;
    std::optional<core::timestamp> m_isolationEndedAt;
    bool m_isShareExceeded {};
    core::timestamp m_shareExceededSince;
};

const char* textOf(readiness_state);

} // namespace shallotcove::steering
