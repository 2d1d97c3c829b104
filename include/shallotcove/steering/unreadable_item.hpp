#pragma once

#include <shallotcove/steering/flow_address.hpp>
#include <string>

namespace shallotcove::steering {

/// The item is there, but means nothing.
struct unreadable_item {
    std::string cause;

    friend bool operator==(const unreadable_item&, const unreadable_item&) = default;
};

} // namespace shallotcove::steering
