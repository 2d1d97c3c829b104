#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <shallotcove/core/control_engine.hpp>
#include <shallotcove/daemon/packet_counters.hpp>
#include <shallotcove/daemon/packet_worker.hpp>
#include <shallotcove/daemon/ring.hpp>

namespace shallotcove::store {
class key_value_client;
}

namespace shallotcove::daemon {

/// Which long-lived tasks the platform thread performs until the next request: watching the store and holding
/// the planner's lease.
struct platform_request {
    bool shouldWatch {};
    bool shouldHoldLease {};
    /// Index up to which the configuration has been applied; a watch starts after it, and 0 requests a full
    /// read.
    core::config_index appliedIndex;

    friend bool operator==(const platform_request&, const platform_request&) = default;
};

/// From the peer thread to the platform thread.
using platform_command = std::variant<platform_request, core::store_write>;

/// Changes of keys in the store, without gaps up to an index.
struct store_changes {
    std::vector<core::store_entry> entries;
    core::config_index upTo;
    /// Whether the entries are all keys of the store; keys that are not among them were deleted.
    bool isComplete {};
};

struct lease_state {
    bool isHeld {};
};

/// Outcome of a planner write; wasWritten is empty if the answer was lost.
struct write_result {
    std::string key;
    std::optional<bool> wasWritten;
};

/// From the platform thread to the peer thread.
using platform_report
    = std::variant<store_changes, std::vector<core::listed_host>, lease_state, write_result>;

/// The state of the peer thread that a query may read.
struct control_view {
    const core::control_engine& engine;
    /// Null until the engine has built the first snapshot.
    std::shared_ptr<const core::routing_snapshot> snapshot;
};

/// From the operator thread: runs on the peer thread between two calls of the engine.
using control_query = std::function<void(const control_view&)>;

class store_health;

/// From the operator thread: runs on the platform thread and reports the outcome of its store call.
using store_task = std::function<void(store::key_value_client&, store_health&)>;

/// All state that the threads of a host share. Each ring has exactly one producer thread and one consumer
/// thread.
struct channels {
    ring<packet_command> toPackets { 4096 };
    ring<packet_report> fromPackets { 256 };
    ring<platform_command> toPlatform { 1024 };
    ring<platform_report> fromPlatform { 1024 };
    ring<control_query> queries { 64 };
    ring<store_task> storeTasks { 64 };
    packet_counters packets;
    /// Number of requests sent by the store client, for the metrics.
    std::atomic<std::uint64_t> storeCalls { 0 };
    /// Whether the store gave a valid answer to the last call.
    std::atomic<bool> isStoreAvailable { true };
    /// Set when a graceful shutdown begins, and never reset.
    std::atomic<bool> isLeaving { false };
};

} // namespace shallotcove::daemon
