#pragma once
#include <shallotcove/steering/steering_engine.hpp>

namespace shallotcove::steering {

/// Inputs of the decision whether this host should receive callers.
struct readiness_inputs {
    /// Whether the configuration and the servers are known.
    bool isViewComplete {};
    bool isStopping {};
    /// Share of new flows whose servers cannot be reached.
    double unreachableShare {};
    /// Whether this host knows other hosts near the servers that it can probe, and whether one of them has
    /// answered since this host became isolated.
    bool canProbeOthers {};
    bool hasProbeAnswer {};
    /// Whether the store answers, but for longer than a bounded time the evacuations and servers that this
    /// host missed have not been read.
    bool isCatchingUp {};
};

} // namespace shallotcove::steering
