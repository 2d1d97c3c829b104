#pragma once

#include <string>
#include <vector>

#include <shallotcove/core/caller_class.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/service_config.hpp>

namespace shallotcove::core {

/// Parameters of the operator call serviceCreate.
struct new_service {
    std::string name;
    socket_address address;
    transport protocol { transport::Tcp };
    std::vector<caller_class> classes;

    friend bool operator==(const new_service&, const new_service&) = default;
};

} // namespace shallotcove::core
