#pragma once

#include <compare>
#include <cstdint>
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

/// IPv4 address and port that callers connect to, in host byte order.
struct route_address {
    std::uint32_t address {};
    std::uint16_t port {};

    friend auto operator<=>(const route_address&, const route_address&) = default;
};

} // namespace shallotcove::steering
