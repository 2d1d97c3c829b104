#pragma once

#include <cstdint>
#include <memory>
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

/// A configuration is never null.
using item_content = std::variant<removed_item, unreadable_item, std::shared_ptr<const routing_config>,
    data_centre_out, server_entry>;

/// Compares the contents of configurations, not their pointers.
bool isEqual(const item_content&, const item_content&);

/// Content that an item of the store has from a revision on.
struct store_change {
    item_key key;
    std::uint64_t revision {};
    item_content content;

    friend bool operator==(const store_change& left, const store_change& right)
    {
        return left.key == right.key && left.revision == right.revision
            && isEqual(left.content, right.content);
    }
};

/// Whether a change is to be applied before another one: evacuations first, then servers, then the
/// configuration, and older revisions first among changes of one kind.
bool isMoreUrgent(const store_change&, const store_change&);

} // namespace shallotcove::steering
