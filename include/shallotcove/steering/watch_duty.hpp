#pragma once

#include <cstdint>
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

/// Where this host learns of changes of the store.
struct watch_duty {
    /// It watches the store itself.
    bool shouldWatch { true };
    /// Others rely on it.
    bool isRelay {};
    /// Otherwise: a host that watches, and what it knows.
    std::uint32_t relay {};
    std::uint64_t relayRevision {};

    friend bool operator==(const watch_duty&, const watch_duty&) = default;
};

} // namespace shallotcove::steering
