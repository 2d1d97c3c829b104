#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/planner_service.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// What the planner decides from. Hosts that may be serving are alive, suspect or leaving.
struct planner_input {
    std::vector<planner_service> services;
    /// Names of data centres that are out, and the highest modification index of their keys.
    std::set<std::string> dataCentresOut;
    /// Smallest applied index over all hosts that may be serving.
    config_index minimumApplied;
    /// Smallest retirementScanIndex and preparedScanIndex over all hosts that may be serving.
    config_index minimumRetirementScan;
    config_index minimumPreparedScan;
    /// Union of blockedServices over all hosts that may be serving.
    std::set<service_id> blockedServices;
    /// Servers with a limit that every alive host has acknowledged. An epoch that brings servers that the
    /// active one lacks becomes active only once all of these are limited, so that a cold server never gets
    /// its full share.
    std::set<std::pair<service_id, backend_server_id>> limitedServers;
    /// Capacity of a server relative to its weight as learned from load, 1.0 where nothing is known.
    std::map<std::pair<service_id, backend_server_id>, double> capacityFactors;
    timestamp now;
};

} // namespace shallotcove::core
