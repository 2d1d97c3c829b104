#pragma once

#include <cstdint>

#include <shallotcove/core/time.hpp>

namespace shallotcove::daemon {

/// A catch-up of the view of the store that has ended.
struct catch_up_summary {
    /// Static name of what the view was read from: the store or a neighbour.
    const char* source {};
    core::duration length {};
    /// Revision of the view at the start, and up to which all changes have been received at the end.
    std::uint64_t fromRevision {};
    std::uint64_t revision {};
    /// Requests sent to the store.
    std::uint64_t calls {};
};

} // namespace shallotcove::daemon
