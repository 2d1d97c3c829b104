#pragma once

#include <cstdint>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/store_view.hpp>

namespace shallotcove::steering {

/// What this host tells others of its view of the store.
struct view_report {
    std::uint64_t revision {};
    bool isWatching {};
    core::timestamp answeredAt;
};

} // namespace shallotcove::steering
