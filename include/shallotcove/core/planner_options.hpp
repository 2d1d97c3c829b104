#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct planner_options {
    /// Minimum time between two epochs of a service that only change weights.
    duration weightChangeInterval { std::chrono::seconds { 10 } };
    /// Weight changes are postponed while a service has more live epochs than this.
    std::size_t weightChangeLiveEpochs { 4 };
    /// Relative change of a weight above which a service with estimated capacities gets a new epoch. Without
    /// estimated capacities any change is enough.
    double minimumWeightChange { 0.05 };
    /// Limit on writes per second over all services.
    std::uint32_t writesPerSecond { 100 };
};

} // namespace shallotcove::core
