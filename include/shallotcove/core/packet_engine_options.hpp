#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct packet_engine_options {
    /// Entries of the local flow table, a power of two.
    std::size_t localFlows { 1U << 19 };
    /// Entries of the table of tracked flows, a power of two.
    std::size_t trackedFlows { 1U << 17 };
    /// A flow without packets for this long counts as ended.
    duration idleTimeout { std::chrono::seconds { 900 } };
    /// Byte budget per second for track batches.
    std::uint32_t trackBytesPerSecond { 4500 };
    /// Byte budget per second for hints.
    std::uint32_t hintBytesPerSecond { 2000 };
    /// Time for which ownership and limits must have been stable before a refusal may tell a caller that its
    /// request was "not run".
    duration refusalWindow { std::chrono::seconds { 8 } };
};

} // namespace shallotcove::core
