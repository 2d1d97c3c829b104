#pragma once

#include <compare>
#include <string>

#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/item_kind.hpp>

namespace shallotcove::steering {

/// Identifies an item of the store.
struct item_key {
    item_kind kind {};
    /// Name of the data centre or id of the server; empty for the configuration.
    std::string name;

    std::string toString() const;

    friend auto operator<=>(const item_key&, const item_key&) = default;
};

} // namespace shallotcove::steering
