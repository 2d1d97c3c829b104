#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include <shallotcove/daemon/packet_counters.hpp>
#include <shallotcove/daemon/ring.hpp>

namespace shallotcove::daemon {

/// Counters of the packet thread.
struct tagged_counters {
    relaxed_counter fromCallers;
    relaxed_counter fromNeighbours;
    relaxed_counter forwarded;
    /// By steering::packet_reason.
    std::array<relaxed_counter, 16> refused;
    std::array<relaxed_counter, 16> dropped;
    /// By platform::packet_error.
    std::array<relaxed_counter, 8> malformed;
    relaxed_counter malformedNeighbours;
    relaxed_counter sendFailed;
    relaxed_counter sentToNeighbours;
    std::atomic<std::uint64_t> flows { 0 };
    std::atomic<std::uint64_t> hosts { 0 };
};

} // namespace shallotcove::daemon
