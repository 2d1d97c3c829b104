#pragma once

#include <vector>

#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/hold_end.hpp>
#include <shallotcove/steering/packet_decision.hpp>

namespace shallotcove::steering {

/// A flow whose held packets are released, with the decisions on them in the order of their arrival.
struct released_flow {
    flow_address flow;
    hold_end end {};
    std::vector<packet_decision> decisions;

    friend bool operator==(const released_flow&, const released_flow&) = default;
};

} // namespace shallotcove::steering
