#pragma once

#include <chrono>

namespace shallotcove::soak {

/// Limits of the promises: those of the users' deployments (platform pages, section "Bounds").
struct soak_bounds {
    std::chrono::milliseconds applyTime { 3000 };
    std::chrono::milliseconds drainTime { 3000 };
    std::chrono::milliseconds evacuationTime { 5000 };
    std::chrono::milliseconds gracePeriod { 6000 };
    std::chrono::milliseconds recoveryTime { 12000 };
    /// The limits above are checked for a host once it has been undisturbed for this long.
    std::chrono::milliseconds settleTime { 4000 };
    /// After a configuration took effect at a host, an older one may still show for this long.
    std::chrono::milliseconds staleConfigTime { 250 };
    /// A flow counts as moved after this many packets at other servers within the window and none at its own.
    std::chrono::milliseconds reorderWindow { 2000 };
    int misroutedPackets { 3 };
    double coldFactor { 1.5 };
    double coldSlack { 5 };
    /// Minimum share of requests that must be served after the recovery time.
    double recoveredShare { 0.25 };
};

} // namespace shallotcove::soak
