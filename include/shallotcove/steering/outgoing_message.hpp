#pragma once

#include <cstdint>

#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/neighbour_message.hpp>

namespace shallotcove::steering {

struct outgoing_message {
    std::uint32_t to {};
    neighbour_message message;
    /// Newest format that the receiver is known to read.
    message_format format { message_format::Version2 };
};

} // namespace shallotcove::steering
