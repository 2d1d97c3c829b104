#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/member.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct control_engine_options {
    /// This host as its settings describe it; its incarnation comes from the wall clock at start.
    member self;
    /// Peer addresses to join through, besides the platform's list.
    std::vector<socket_address> seeds;
    std::uint64_t flowHashSeed {};
    /// Seed of the random choices of probe targets.
    std::uint64_t randomSeed {};
    duration probePeriod { std::chrono::milliseconds { 400 } };
    duration probeTimeout { std::chrono::milliseconds { 200 } };
    duration suspicionTimeout { std::chrono::milliseconds { 2000 } };
    std::uint32_t indirectProbes { 3 };
    /// A gap between two calls of advance() above this makes the host unsynchronized.
    duration pauseThreshold { std::chrono::seconds { 1 } };
    duration isolationTimeout { std::chrono::seconds { 3 } };
    duration plannerLease { std::chrono::seconds { 5 } };
    /// Hosts in each data centre that watch the store.
    std::uint32_t watchersPerDataCentre { 2 };
    /// Whether the planner corrects weights by load reports.
    bool hasLoadFeedback { true };
};

} // namespace shallotcove::core
