#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <shallotcove/steering/route.hpp>
#include <shallotcove/steering/route_address.hpp>
#include <shallotcove/steering/service_rules.hpp>

namespace shallotcove::steering {

struct routing_config;

/// The difference between two versions of the configuration. Of several routes with one address, or services
/// with one name, only the first counts.
struct config_change {
    std::uint64_t fromVersion {};
    std::uint64_t version {};
    std::vector<route_address> removedRoutes;
    /// Routes that are new or differ, shared with the newer configuration.
    std::vector<std::shared_ptr<const route>> changedRoutes;
    std::vector<std::string> removedServices;
    std::vector<service_rules> changedServices;

    /// Compares the contents of the routes, not their pointers.
    friend bool operator==(const config_change&, const config_change&);
};

/// Costs a comparison of pointers for each route that both versions share.
config_change differenceBetween(const routing_config& from, const routing_config& to);

/// Returns the newer configuration that the difference leads to, which shares all other routes with the older
/// one. Routes and services that are new come last.
std::shared_ptr<const routing_config> withChange(const routing_config& from, const config_change&);

} // namespace shallotcove::steering
