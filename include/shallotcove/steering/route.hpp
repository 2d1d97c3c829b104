#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace shallotcove::steering {

/// IPv4 address and port that callers connect to, in host byte order.
struct route_address {
    std::uint32_t address {};
    std::uint16_t port {};

    friend auto operator<=>(const route_address&, const route_address&) = default;
};

struct weighted_service {
    std::string service;
    std::uint32_t weight {};

    friend auto operator<=>(const weighted_service&, const weighted_service&) = default;
};

/// Where new flows to one address and port go.
struct route {
    std::string name;
    route_address at;
    std::vector<weighted_service> targets;
    /// Time after which callers give a request up.
    std::chrono::milliseconds timeout {};
    std::chrono::milliseconds latencyGoal {};
    /// 0 is the most important.
    std::uint32_t priority {};
    /// Regions whose backend servers may serve the route; empty for all.
    std::vector<std::string> homeRegions;

    friend bool operator==(const route&, const route&) = default;
};

} // namespace shallotcove::steering
