#pragma once

#include <chrono>

namespace shallotcove::soak {

/// Bounds of the promises: those of the users' deployments (platform pages, section "Bounds").
struct soak_bounds {
    std::chrono::milliseconds apply { 3000 };
    std::chrono::milliseconds drain { 3000 };
    std::chrono::milliseconds evacuate { 5000 };
    std::chrono::milliseconds grace { 6000 };
    std::chrono::milliseconds recovery { 12000 };
    /// A host is judged by the bounds above if it was without trouble for this long.
    std::chrono::milliseconds stable { 4000 };
    /// Once a version took effect at a host, older ones may have an effect for this long.
    std::chrono::milliseconds revert { 250 };
    /// A flow is broken by so many packets at other servers within the window and none at its own.
    std::chrono::milliseconds reorder { 2000 };
    int strayPackets { 3 };
    double coldFactor { 1.5 };
    double coldSlack { 5 };
    /// Share of the requests that must be served after the recovery time.
    double recoveredShare { 0.25 };
};

} // namespace shallotcove::soak
