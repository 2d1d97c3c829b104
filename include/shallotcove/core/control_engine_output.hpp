#pragma once

#include <memory>
#include <string>
#include <vector>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/core/store_write.hpp>

namespace shallotcove::core {

struct routing_snapshot;

/// Messages, writes and other work that control_engine::advance() requests from its caller.
struct control_engine_output {
    std::vector<addressed_message> messages;
    /// Set when configuration, membership or limits changed since the last call.
    std::shared_ptr<const routing_snapshot> snapshot;
    /// Writes of the planner, with at most one in progress for each key.
    std::vector<store_write> writes;
    /// Received track batches and hints, to be passed to the packet engine.
    std::vector<peer_message> forPacketEngine;
    /// Store keys whose new value cannot be parsed or whose name is too long. A key's former value stays in
    /// force.
    std::vector<std::string> unreadableKeys;
    /// Whether this host should hold a watch on the store.
    bool shouldWatchStore {};
    /// Whether this host should try to take or keep the planner's lease.
    bool shouldHoldPlannerLease {};
};

} // namespace shallotcove::core
