#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/data_centre_evidence.hpp>

namespace shallotcove::steering {

/// Inputs of the room of a service, apart from its servers.
struct room_context {
    /// Names of the data centres, indexed by server_record::dataCentreIndex.
    const std::vector<std::string>& dataCentres;
    const std::set<std::string>& dataCentresOut;
    const std::map<std::string, data_centre_evidence>& evidence;
    /// Limit of new flows per second at a cold server of the service; 0 for none.
    double coldFlowsPerSecond {};
    core::duration serviceTime {};
    /// If more than this share of the servers leaves requests unanswered, the cause lies elsewhere.
    double maximumUnansweredShare { 1 };
    core::timestamp now;
};

} // namespace shallotcove::steering
