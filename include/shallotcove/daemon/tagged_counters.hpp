#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include <shallotcove/daemon/packet_counters.hpp>
#include <shallotcove/daemon/ring.hpp>

namespace shallotcove::daemon {

/// Counters that the packet thread writes and the control thread reads.
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
    /// Requests on open flows that were held.
    relaxed_counter requestsHeld;
    /// The same that were released, by steering::hold_end.
    std::array<relaxed_counter, 3> requestsReleased;
    relaxed_counter sendFailed;
    relaxed_counter sentToNeighbours;
    /// Current number of tracked flows.
    std::atomic<std::uint64_t> flows { 0 };
    /// Current number of known hosts, this one included.
    std::atomic<std::uint64_t> hosts { 0 };
};

} // namespace shallotcove::daemon
