#pragma once

#include <cstdint>

#include <shallotcove/steering/store_view.hpp>

namespace shallotcove::daemon {

/// Whether configuration and servers are known, and up to which revision of the store.
struct view_state {
    bool isComplete {};
    std::uint64_t revision {};
};

} // namespace shallotcove::daemon
