#pragma once

#include <compare>
#include <cstdint>
#include <shallotcove/steering/flow_address.hpp>
#include <string>

namespace shallotcove::steering {

struct weighted_service {
    std::string service;
    std::uint32_t weight {};

    friend auto operator<=>(const weighted_service&, const weighted_service&) = default;
};

} // namespace shallotcove::steering
