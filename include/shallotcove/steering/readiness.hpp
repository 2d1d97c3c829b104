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
    /// Configuration or servers are not known yet.
    Starting,
    Ready,
    /// The servers cannot be reached from here, though others may reach them.
    Isolated,
    Stopping,
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
