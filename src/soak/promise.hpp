#pragma once

#include <cstdint>

namespace shallotcove::soak {

/// What callers and backend servers may rely on; docs/SOAK.md says how each is checked.
enum class promise : std::uint8_t {
    /// A flow only reaches servers of a service that a configuration allowed for its route.
    RightService,
    /// A request that must not be repeated runs once at most.
    AtMostOnce,
    /// A refused request has not run and does not run later.
    TruthfulRefusal,
    /// An open flow stays with its server while the server lives.
    OpenFlowsKept,
    /// Packets arrive as their senders wrote them.
    UnchangedPackets,
    /// A draining or departed server gets no new flows after the drain time.
    DrainedServersIdle,
    /// A data centre that was taken out gets no new flows after the evacuation time.
    DataCentreOutIdle,
    /// A configuration is in force within the apply time.
    ConfigInForce,
    /// One run of a host never goes back to an older configuration.
    ConfigKept,
    /// Hosts together keep within what a cold server bears.
    ColdLimit,
    /// A host only ends when it is told to, with status 0, within its grace time.
    OrderlyEnds,
    /// Requests are served while nothing but planned work goes on.
    ServedInCalm,
    /// Requests are served again after the last fault.
    Recovery,
};

const char* textOf(promise);

} // namespace shallotcove::soak
