#pragma once

#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/service_config.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct capacity_estimator_input {
    std::vector<std::shared_ptr<const service_config>> services;
    /// Servers with a limit, which are left out: the limit keeps flows away, so their flow counts say nothing
    /// about their capacity.
    std::set<std::pair<service_id, backend_server_id>> limitedServers;
    timestamp now;
};

} // namespace shallotcove::core
