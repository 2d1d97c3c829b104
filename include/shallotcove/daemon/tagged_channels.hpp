#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include <shallotcove/daemon/host_pause.hpp>
#include <shallotcove/daemon/readiness_change.hpp>
#include <shallotcove/daemon/ring.hpp>
#include <shallotcove/daemon/tagged_counters.hpp>
#include <shallotcove/daemon/view_state.hpp>
#include <shallotcove/steering/readiness.hpp>
#include <shallotcove/steering/steering_note.hpp>
#include <shallotcove/steering/store_view.hpp>
#include <shallotcove/steering/view_update.hpp>

namespace shallotcove::daemon {

class event_log;
/// What one answer of the store, or of a neighbour, changed.
using view_updates = std::shared_ptr<const std::vector<steering::view_update>>;

/// From the control thread to the packet thread.
using knowledge_update = std::variant<view_updates, view_state>;

/// From the control thread to the log thread: writes one or more lines.
using log_task = std::function<void(event_log&)>;

/// From the packet thread to the log thread.
using packet_note = std::variant<steering::steering_note, readiness_change, host_pause>;

/// All that the threads of a host on the tagged transport share. Each ring has one producer and one consumer.
struct tagged_channels {
    ring<knowledge_update> knowledge { 256 };
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
    /// Whether callers wait for a server, another offer or a refusal of this host.
    std::atomic<bool> hasPendingDecisions { false };
    std::atomic<bool> isStopping { false };
    std::atomic<bool> shouldEnd { false };
};

} // namespace shallotcove::daemon
