#pragma once

#include <cstdint>

#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/neighbour_message.hpp>

namespace shallotcove::steering {

struct outgoing_message {
    std::uint32_t to {};
    neighbour_message message;
};

} // namespace shallotcove::steering
