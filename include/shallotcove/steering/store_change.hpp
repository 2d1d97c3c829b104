#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include <shallotcove/steering/routing_config.hpp>
#include <shallotcove/steering/server_entry.hpp>

namespace shallotcove::steering {

enum class item_kind : std::uint8_t { Config, DataCentreOut, Server };

/// What an item of the store is about.
struct item_key {
    item_kind kind {};
    /// Data centre or server; empty for the configuration.
    std::string name;

    std::string toString() const;

    friend auto operator<=>(const item_key&, const item_key&) = default;
};

struct removed_item {
    friend bool operator==(const removed_item&, const removed_item&) = default;
};

/// The item marks a data centre as taken out; it has no content.
struct data_centre_out {
    friend bool operator==(const data_centre_out&, const data_centre_out&) = default;
};

/// The item is there, but means nothing.
struct unreadable_item {
    std::string cause;

    friend bool operator==(const unreadable_item&, const unreadable_item&) = default;
};

using item_content
    = std::variant<removed_item, unreadable_item, routing_config, data_centre_out, server_entry>;

/// An item as the store has it from a revision on.
struct store_change {
    item_key key;
    std::uint64_t revision {};
    item_content content;

    friend bool operator==(const store_change&, const store_change&) = default;
};

} // namespace shallotcove::steering
