#pragma once

#include <cstdint>

namespace shallotcove::daemon {

/// Totals of a store_follower since its start.
struct store_follower_counts {
    /// Requests sent to the store.
    std::uint64_t calls {};
    /// Catch-ups that were completed.
    std::uint64_t catchUps {};
    /// Requests sent to the store for catch-ups, also for those that were not completed.
    std::uint64_t catchUpCalls {};

    friend bool operator==(const store_follower_counts&, const store_follower_counts&) = default;
};

} // namespace shallotcove::daemon
