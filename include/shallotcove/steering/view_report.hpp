#pragma once

#include <cstdint>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/store_view.hpp>

namespace shallotcove::steering {

/// State of this host's view of the store, as sent to other hosts.
struct view_report {
    std::uint64_t revision {};
    bool isWatching {};
    /// When the store last answered.
    core::timestamp answeredAt;
};

} // namespace shallotcove::steering
