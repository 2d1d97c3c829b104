#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/route_address.hpp>
#include <shallotcove/steering/weighted_service.hpp>

namespace shallotcove::steering {

/// Destination of new flows to one address and port.
struct route {
    std::string name;
    route_address at;
    std::vector<weighted_service> targets;
    /// Time after which callers give up a request; 0 for none.
    std::chrono::milliseconds timeout {};
    std::chrono::milliseconds latencyGoal {};
    /// 0 is the most important.
    std::uint32_t priority {};
    /// Regions whose backend servers may serve the route; empty for all.
    std::vector<std::string> homeRegions;
    /// Whether a request may be executed more than once.
    bool isRepeatable {};

    friend bool operator==(const route&, const route&) = default;
};

} // namespace shallotcove::steering
