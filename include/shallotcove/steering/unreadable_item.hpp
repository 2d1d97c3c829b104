#pragma once

#include <shallotcove/steering/flow_address.hpp>
#include <string>

namespace shallotcove::steering {

/// Content of an item that is in the store but could not be decoded.
struct unreadable_item {
    std::string cause;

    friend bool operator==(const unreadable_item&, const unreadable_item&) = default;
};

} // namespace shallotcove::steering
