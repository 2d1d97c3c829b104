#pragma once

#include <cstdint>

namespace shallotcove::soak {

/// Guarantees to callers, backend servers and the operator; docs/SOAK.md says how each is checked.
enum class promise : std::uint8_t {
    /// A flow only reaches servers of a service that some configuration allowed for its route.
    RightService,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A refused request has not run and does not run later.
    TruthfulRefusal,
    /// An open flow stays on its server as long as the server is running.
    OpenFlowsKept,
    /// Packets are delivered unmodified.
    UnchangedPackets,
    /// A draining or removed server gets no new flows after the drain time.
    DrainedServersIdle,
    /// A data centre that was taken out gets no new flows after the evacuation time.
    DataCentreOutIdle,
    /// A configuration is in force within the apply time.
    ConfigInForce,
    /// A host process never reverts to an older configuration.
    ConfigKept,
    /// All hosts together stay within the new-flow limit of a cold server.
    ColdLimit,
    /// A host exits only on request, with status 0 and within its grace period.
    OrderlyEnds,
    /// Requests are served while nothing but planned changes and store faults occurs.
    ServedInCalm,
    /// Requests are served again after the last fault.
    Recovery,
};

const char* textOf(promise);

} // namespace shallotcove::soak
