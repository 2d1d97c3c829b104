#pragma once

#include <cstddef>
#include <string>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::soak {

/// Name, data centre and addresses of a host of the soak.
struct host_plan {
    std::string name;
    std::string dataCentre;
    core::socket_address packetAddress;
    core::socket_address readinessAddress;
    core::socket_address peerAddress;
    core::socket_address metricsAddress;

    friend bool operator==(const host_plan&, const host_plan&) = default;
};

} // namespace shallotcove::soak
