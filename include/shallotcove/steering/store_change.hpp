#pragma once

#include <cstdint>
#include <variant>

#include <shallotcove/steering/data_centre_out.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/item_key.hpp>
#include <shallotcove/steering/item_kind.hpp>
#include <shallotcove/steering/removed_item.hpp>
#include <shallotcove/steering/routing_config.hpp>
#include <shallotcove/steering/server_entry.hpp>
#include <shallotcove/steering/unreadable_item.hpp>

namespace shallotcove::steering {

using item_content
    = std::variant<removed_item, unreadable_item, routing_config, data_centre_out, server_entry>;

/// Content that an item of the store has from a revision on.
struct store_change {
    item_key key;
    std::uint64_t revision {};
    item_content content;

    friend bool operator==(const store_change&, const store_change&) = default;
};

} // namespace shallotcove::steering
