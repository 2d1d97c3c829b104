#pragma once

#include <cstddef>
#include <string>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::soak {

/// Where one host of the soak runs.
struct host_plan {
    std::string name;
    std::string dataCentre;
    core::socket_address packets;
    core::socket_address readiness;
    core::socket_address peers;
    core::socket_address metrics;

    friend bool operator==(const host_plan&, const host_plan&) = default;
};

} // namespace shallotcove::soak
