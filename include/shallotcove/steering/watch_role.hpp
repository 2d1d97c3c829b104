#pragma once

#include <cstdint>
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

/// Source from which this host learns of changes in the store.
struct watch_role {
    /// Whether this host watches the store itself.
    bool shouldWatch { true };
    /// Whether other hosts learn of changes from this one.
    bool isRelay {};
    /// If this host does not watch the store: address of a host that does, and the store revision up to which
    /// that host knows every change.
    std::uint32_t relay {};
    std::uint64_t relayRevision {};

    friend bool operator==(const watch_role&, const watch_role&) = default;
};

} // namespace shallotcove::steering
