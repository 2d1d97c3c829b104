#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace shallotcove::soak {

/// How long a server of the soak is cold after its start.
inline constexpr std::chrono::milliseconds coldTime { 4000 };

struct soak_options {
    std::uint64_t seed { 1 };
    /// Faults come in this time; the calm time before and after them is added.
    double faultSeconds { 20 };
    std::size_t hosts { 9 };
    std::size_t dataCentres { 3 };
    /// Servers of the service that callers use, over all data centres.
    std::size_t servers { 12 };
    double requestsPerSecond { 120 };
    /// Second part of the loopback addresses, so that runs side by side do not meet.
    unsigned network { 20 };
    /// Settings, process ids and logs of the hosts.
    std::string folder;
    /// Whether the routers move nearly all flows when a host joins or leaves.
    bool isModuloHash {};
    /// Flows per second that a cold server bears; 0 for no limit.
    double coldFlowsPerSecond { 12 };
};

} // namespace shallotcove::soak
