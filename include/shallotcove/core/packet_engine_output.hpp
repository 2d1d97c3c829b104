#pragma once

#include <vector>

#include <shallotcove/core/class_evidence.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/core/server_evidence.hpp>

namespace shallotcove::core {

/// Messages to send and values to report after packet_engine::advance().
struct packet_engine_output {
    std::vector<addressed_message> messages;
    std::vector<server_evidence> servers;
    std::vector<class_evidence> classes;
    /// Progress of the flow scan: the values for the fields of the same names in member.
    config_index retirementScanIndex;
    config_index preparedScanIndex;
    std::vector<service_id> blockedServices;
};

} // namespace shallotcove::core
