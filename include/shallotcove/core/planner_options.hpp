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
    /// For services with estimated capacities: a change of all weights by at most this fraction gets no new
    /// epoch. For other services every change does.
    double minimumWeightChange { 0.05 };
    /// Limit on writes per second over all services.
    std::uint32_t writesPerSecond { 100 };
};

} // namespace shallotcove::core
