#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct planner_options {
    /// Shortest time between two epochs that only change weights of a service.
    duration weightChangeInterval { std::chrono::seconds { 10 } };
    /// Weight changes wait while a service has more live epochs than this.
    std::size_t weightChangeLiveEpochs { 4 };
    /// Smallest relative change of a weight that is worth an epoch.
    double minimumWeightChange { 0.05 };
    /// Writes a second over all services.
    std::uint32_t writesPerSecond { 100 };
};

} // namespace shallotcove::core
