#pragma once

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/peer_message.hpp>

namespace shallotcove::daemon {

struct peer_datagram {
    core::host_id from;
    core::socket_address fromAddress;
    core::peer_message message;
};

} // namespace shallotcove::daemon
