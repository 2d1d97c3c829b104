#pragma once

#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/store_change.hpp>

namespace shallotcove::steering {

/// A change of the store that takes effect in the view.
struct view_update {
    store_change change;
    /// For a removed server: whether its entry may merely have expired during a failure of the store, so that
    /// the server may still be running.
    bool isUncertain {};

    friend bool operator==(const view_update&, const view_update&) = default;
};

} // namespace shallotcove::steering
