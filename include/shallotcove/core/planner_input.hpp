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

/// State on which the planner bases its decisions. Hosts that may be serving are those alive, suspect or
/// leaving.
struct planner_input {
    std::vector<planner_service> services;
    /// Names of the data centres that are out.
    std::set<std::string> dataCentresOut;
    /// Smallest appliedIndex over all hosts that may be serving.
    config_index minimumApplied;
    /// Smallest retirementScanIndex and preparedScanIndex over all hosts that may be serving.
    config_index minimumRetirementScan;
    config_index minimumPreparedScan;
    /// Union of blockedServices over all hosts that may be serving.
    std::set<service_id> blockedServices;
    /// Servers whose limit on new flows every alive host has acknowledged. A prepared epoch with servers that
    /// the active epoch lacks becomes active only once all of them are listed here, so that a cold server
    /// never receives its full share.
    std::set<std::pair<service_id, backend_server_id>> limitedServers;
    /// Capacity of a server relative to its weight, as estimated from load. 1.0 applies to servers without an
    /// entry.
    std::map<std::pair<service_id, backend_server_id>, double> capacityFactors;
    timestamp now;
};

} // namespace shallotcove::core
