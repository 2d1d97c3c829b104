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
    /// This host as configured; its incarnation is the wall clock time at start.
    member self;
    /// Peer addresses to join through, in addition to the platform's host list.
    std::vector<socket_address> seeds;
    std::uint64_t flowHashSeed {};
    /// Seed of all random choices, such as probe targets.
    std::uint64_t randomSeed {};
    duration probePeriod { std::chrono::milliseconds { 400 } };
    duration probeTimeout { std::chrono::milliseconds { 200 } };
    duration suspicionTimeout { std::chrono::milliseconds { 2000 } };
    std::uint32_t indirectProbes { 3 };
    /// A longer gap between two calls of advance() counts as a pause, after which the host is unsynchronized.
    duration pauseThreshold { std::chrono::seconds { 1 } };
    duration isolationTimeout { std::chrono::seconds { 3 } };
    duration plannerLease { std::chrono::seconds { 5 } };
    /// Hosts in each data centre that watch the store.
    std::uint32_t watchersPerDataCentre { 2 };
    /// Whether the planner corrects weights based on load reports.
    bool hasLoadFeedback { true };
};

} // namespace shallotcove::core
