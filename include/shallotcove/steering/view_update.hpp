#pragma once

#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/store_change.hpp>

namespace shallotcove::steering {

/// A change that is in force from now on.
struct view_update {
    store_change change;
    /// For a removed server: its entry may only have lapsed while the store was in trouble.
    bool isDoubtful {};

    friend bool operator==(const view_update&, const view_update&) = default;
};

} // namespace shallotcove::steering
