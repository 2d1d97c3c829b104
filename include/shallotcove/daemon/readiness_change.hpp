#pragma once

#include <shallotcove/steering/readiness.hpp>

namespace shallotcove::daemon {

/// Change of the readiness state, reported to the log.
struct readiness_change {
    steering::readiness_state from {};
    steering::readiness_state to {};
    int unreachablePercent {};
};

} // namespace shallotcove::daemon
