#pragma once

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/metrics.hpp>

namespace shallotcove::daemon {

/// Addresses in use, with the ports that the system chose.
struct host_addresses {
    core::socket_address packets;
    core::socket_address peers;
    core::socket_address operators;
    core::socket_address metrics;
};

} // namespace shallotcove::daemon
