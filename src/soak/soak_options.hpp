#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace shallotcove::soak {

/// How long a server added during the run stays cold.
inline constexpr std::chrono::milliseconds coldTime { 4000 };

struct soak_options {
    std::uint64_t seed { 1 };
    /// Period in which faults begin; the fault-free periods before and after it come on top.
    double faultSeconds { 20 };
    std::size_t hosts { 9 };
    std::size_t dataCentres { 3 };
    /// Servers of the callers' service, in all data centres together.
    std::size_t servers { 12 };
    double requestsPerSecond { 120 };
    /// Second octet of the loopback addresses, so that concurrent runs do not share addresses.
    unsigned network { 20 };
    /// Folder for the settings, process ids and logs of the hosts.
    std::string folder;
    /// Whether routers use a modulo hash, which moves nearly all flows when a host joins or leaves.
    bool isModuloHash {};
    /// New flows per second that a cold server accepts; 0 for no limit.
    double coldFlowsPerSecond { 12 };
};

} // namespace shallotcove::soak
