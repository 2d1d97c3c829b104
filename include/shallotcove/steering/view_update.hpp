#pragma once

#include <memory>

#include <shallotcove/steering/config_change.hpp>
#include <shallotcove/steering/store_change.hpp>

namespace shallotcove::steering {

/// A change of the store that takes effect in the view.
struct view_update {
    store_change change;
    /// For a removed server: whether its entry may merely have expired during a failure of the store, so that
    /// the server may still be running.
    bool isUncertain {};
    /// For a configuration: its difference from the one that was in effect; null for other items.
    std::shared_ptr<const config_change> configChange;

    /// The difference follows from the configurations and is not compared.
    friend bool operator==(const view_update& left, const view_update& right)
    {
        return left.change == right.change && left.isUncertain == right.isUncertain;
    }
};

} // namespace shallotcove::steering
