#pragma once

#include <cstdint>

#include <shallotcove/steering/store_view.hpp>

namespace shallotcove::daemon {

/// Whether the view of the store has the configuration and the servers, and the store revision that it
/// reflects.
struct view_state {
    bool isComplete {};
    std::uint64_t revision {};
};

} // namespace shallotcove::daemon
