#pragma once

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/metrics.hpp>

namespace shallotcove::daemon {

/// Addresses to which the host is bound. Ports that were configured as 0 are those that the system assigned.
struct host_addresses {
    core::socket_address packets;
    core::socket_address peers;
    core::socket_address operators;
    core::socket_address metrics;
};

} // namespace shallotcove::daemon
