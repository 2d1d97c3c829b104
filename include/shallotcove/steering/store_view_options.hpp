#pragma once

#include <chrono>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

struct store_view_options {
    /// An entry that disappears within this time after a failure of the store may have expired although its
    /// server still runs. The time covers three heartbeats, after which entries expire, and the store's own
    /// recovery.
    core::duration failureWindow { std::chrono::seconds { 10 } };
};

} // namespace shallotcove::steering
