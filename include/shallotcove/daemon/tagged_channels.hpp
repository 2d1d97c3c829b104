#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

#include <shallotcove/daemon/packet_counters.hpp>
#include <shallotcove/daemon/ring.hpp>
#include <shallotcove/steering/readiness.hpp>
#include <shallotcove/steering/steering_note.hpp>
#include <shallotcove/steering/store_view.hpp>

namespace shallotcove::daemon {

class event_log;

/// Whether configuration and servers are known, and up to which revision of the store.
struct view_state {
    bool isComplete {};
    std::uint64_t revision {};
};

/// From the control thread to the packet thread.
using knowledge_update = std::variant<steering::view_update, view_state>;

/// From the control thread to the log thread: writes one or more lines.
using log_task = std::function<void(event_log&)>;

/// A change of readiness, for the log.
struct readiness_change {
    steering::readiness_state from {};
    steering::readiness_state to {};
    int unreachablePercent {};
};

/// The host stood still, for the log.
struct host_pause {
    std::chrono::milliseconds length {};
};

/// From the packet thread to the log thread.
using packet_note = std::variant<steering::steering_note, readiness_change, host_pause>;

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

/// All that the threads of a host on the tagged transport share. Each ring has one producer and one consumer.
struct tagged_channels {
    ring<knowledge_update> knowledge { 4096 };
    ring<packet_note> notes { 2048 };
    ring<log_task> logTasks { 1024 };
    tagged_counters counters;
    std::atomic<steering::readiness_state> readiness { steering::readiness_state::Starting };
    /// Monotonic time of the last packet of a caller, in nanoseconds.
    std::atomic<std::int64_t> lastCallerPacket { 0 };
    /// Where the control thread has to learn of changes of the store.
    std::atomic<bool> shouldWatch { true };
    std::atomic<bool> isRelay { false };
    std::atomic<std::uint32_t> relay { 0 };
    std::atomic<std::uint64_t> relayRevision { 0 };
    /// Whether the control thread watches the store, and the monotonic time of the last answer in
    /// nanoseconds.
    std::atomic<bool> isWatching { true };
    std::atomic<std::int64_t> answeredAt { 0 };
    /// Highest revision of the store that other hosts told of.
    std::atomic<std::uint64_t> neighbourRevision { 0 };
    std::atomic<bool> isStopping { false };
    std::atomic<bool> shouldEnd { false };
};

} // namespace shallotcove::daemon
