#pragma once
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

/// Content of an item that is no longer in the store.
struct removed_item {
    friend bool operator==(const removed_item&, const removed_item&) = default;
};

} // namespace shallotcove::steering
