#pragma once
#include <shallotcove/steering/steering_engine.hpp>

namespace shallotcove::steering {

/// What the decision rests on.
struct readiness_inputs {
    bool isInformed {};
    bool isStopping {};
    double unreachableShare {};
    /// Whether the host can ask hosts near the servers, and whether one answered since it is isolated.
    bool canAskOthers {};
    bool othersAnswered {};
};

} // namespace shallotcove::steering
