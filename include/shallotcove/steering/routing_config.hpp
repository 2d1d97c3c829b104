#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <shallotcove/steering/route.hpp>
#include <shallotcove/steering/service_rules.hpp>

namespace shallotcove::steering {

/// One complete version of the configuration that the operators maintain. Versions share the routes in which
/// they do not differ.
struct routing_config {
    std::uint64_t version {};
    std::vector<std::shared_ptr<const route>> routes;
    std::vector<service_rules> services;

    /// Compares the contents of the routes, not their pointers.
    friend bool operator==(const routing_config&, const routing_config&);
};

std::vector<std::shared_ptr<const route>> shareRoutes(std::vector<route>);

} // namespace shallotcove::steering
