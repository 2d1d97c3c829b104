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
#include <shallotcove/steering/steering_event.hpp>
#include <shallotcove/steering/store_view.hpp>
#include <shallotcove/steering/view_update.hpp>

namespace shallotcove::daemon {

class event_log;
/// Changes of the view of the store that one answer of the store or of a neighbour caused.
using view_updates = std::shared_ptr<const std::vector<steering::view_update>>;

/// Passed from the control thread to the packet thread.
using view_message = std::variant<view_updates, view_state>;

/// Passed from the control thread to the log thread; writes one or more lines.
using log_task = std::function<void(event_log&)>;

/// Passed from the packet thread to the log thread.
using packet_event = std::variant<steering::steering_event, readiness_change, host_pause>;

/// State shared by the threads of a host on the tagged transport. Each ring has one producer and one
/// consumer.
struct tagged_channels {
    ring<view_message> viewMessages { 256 };
    ring<packet_event> packetEvents { 2048 };
    ring<log_task> logTasks { 1024 };
    tagged_counters counters;
    std::atomic<steering::readiness_state> readiness { steering::readiness_state::Starting };
    /// Monotonic time at which the last packet of a caller was received, in nanoseconds.
    std::atomic<std::int64_t> lastCallerPacket { 0 };
    /// The role of the host, set by the packet thread: whether the control thread watches the store, and
    /// whether other hosts rely on it for changes (isRelay). A host that does not watch the store takes its
    /// changes from relay, which has them up to relayRevision.
    std::atomic<bool> shouldWatch { true };
    std::atomic<bool> isRelay { false };
    std::atomic<std::uint32_t> relay { 0 };
    std::atomic<std::uint64_t> relayRevision { 0 };
    /// Whether the control thread does watch the store, and the monotonic time of the last answer of the
    /// store in nanoseconds.
    std::atomic<bool> isWatching { true };
    std::atomic<std::int64_t> answeredAt { 0 };
    /// Whether the view of the store is known to be outdated for so long that the host asks the routers for
    /// no callers, set by the control thread.
    std::atomic<bool> isCatchingUp { false };
    /// Number of pauses of the process that the packet thread has detected.
    std::atomic<std::uint64_t> pauses { 0 };
    /// Highest revision of the store that other hosts have reported.
    std::atomic<std::uint64_t> neighbourRevision { 0 };
    /// Whether callers wait for this host to assign a server, offer their flow to another one or refuse it.
    std::atomic<bool> hasPendingDecisions { false };
    /// Whether a graceful shutdown has begun.
    std::atomic<bool> isStopping { false };
    /// Whether the packet thread and the log thread have to return.
    std::atomic<bool> shouldEnd { false };
};

} // namespace shallotcove::daemon
