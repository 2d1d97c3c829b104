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

/// What the peer thread wants of the store from now on.
struct platform_wishes {
    bool shouldWatch {};
    bool shouldHoldLease {};
    /// Index up to which the configuration is known, where a watch continues.
    core::config_index known;

    friend bool operator==(const platform_wishes&, const platform_wishes&) = default;
};

/// From the peer thread to the platform thread.
using platform_command = std::variant<platform_wishes, core::store_write>;

/// Changes of the store's keys, complete up to an index.
struct store_changes {
    std::vector<core::store_entry> entries;
    core::config_index upTo;
    /// Whether the entries are all keys that exist, so that others were deleted.
    bool isComplete {};
};

struct lease_state {
    bool isHeld {};
};

/// Answer to a write of the planner; nothing if it was lost.
struct write_result {
    std::string key;
    std::optional<bool> wasWritten;
};

/// From the platform thread to the peer thread.
using platform_report
    = std::variant<store_changes, std::vector<core::listed_host>, lease_state, write_result>;

/// What a query may look at.
struct control_view {
    const core::control_engine& engine;
    /// Null until the engine has made the first one.
    std::shared_ptr<const core::routing_snapshot> snapshot;
};

/// From the operator thread: runs on the peer thread between two calls of the engine.
using control_query = std::function<void(const control_view&)>;

class store_health;

/// From the operator thread: runs on the platform thread and reports the outcome of its call.
using store_task = std::function<void(store::key_value_client&, store_health&)>;

/// All that the threads of a host share. Each ring has one producer and one consumer thread.
struct channels {
    ring<packet_command> toPackets { 4096 };
    ring<packet_report> fromPackets { 256 };
    ring<platform_command> toPlatform { 1024 };
    ring<platform_report> fromPlatform { 1024 };
    ring<control_query> queries { 64 };
    ring<store_task> storeTasks { 64 };
    packet_counters packets;
    /// Requests of the store client, for the metrics.
    std::atomic<std::uint64_t> storeCalls { 0 };
    /// By the last answer or failure of a store call.
    std::atomic<bool> isStoreAvailable { true };
    /// Set once, by the shutdown.
    std::atomic<bool> isLeaving { false };
};

} // namespace shallotcove::daemon
