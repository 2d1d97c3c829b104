#pragma once

#include <chrono>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

struct store_view_options {
    /// Entries that vanish this soon after trouble with the store may have lapsed: they do after three
    /// heartbeats and the store's own recovery.
    core::duration troubleWindow { std::chrono::seconds { 10 } };
};

} // namespace shallotcove::steering
