#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <shallotcove/steering/route.hpp>
#include <shallotcove/steering/service_rules.hpp>

namespace shallotcove::steering {

/// One complete version of the configuration that the operators maintain.
struct routing_config {
    std::uint64_t version {};
    std::vector<route> routes;
    std::vector<service_rules> services;

    friend bool operator==(const routing_config&, const routing_config&) = default;
};

} // namespace shallotcove::steering
