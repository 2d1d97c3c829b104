#pragma once

#include <chrono>
#include <cstddef>

namespace shallotcove::daemon {

struct flow_settings {
    /// Entries of the local flow table, a power of two.
    std::size_t localFlows { 1U << 19 };
    /// Entries of the table of tracked flows, a power of two.
    std::size_t trackedFlows { 1U << 17 };
    std::chrono::seconds idleTimeout { 900 };

    friend bool operator==(const flow_settings&, const flow_settings&) = default;
};

} // namespace shallotcove::daemon
