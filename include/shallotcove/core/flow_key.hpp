#pragma once

#include <compare>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/transport.hpp>

namespace shallotcove::core {

/// Both ends of a flow as the caller sees them.
struct flow_key {
    socket_address caller;
    socket_address service;
    transport protocol { transport::Tcp };

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

} // namespace shallotcove::core
