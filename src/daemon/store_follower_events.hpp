#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "catch_up_summary.hpp"
#include "operator_store.hpp"
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/store_view.hpp>
#include <shallotcove/steering/view_update.hpp>

namespace shallotcove::daemon {

/// Callbacks of a store_follower, which runs all of them on its io_context.
struct store_follower_events {
    std::function<void(const std::vector<steering::view_update>&)> onUpdates;
    /// Called for each failed call; call and cause are static names for the log, and isFirst is set for the
    /// first failure since the last answer.
    std::function<void(const char* call, const char* cause, bool isFirst)> onFailed;
    /// Called for the first answer after failed calls.
    std::function<void(const char* call, core::duration outage, std::uint64_t failedCalls)> onRecovered;
    /// Called when the store no longer has the changes after the revision of the view.
    std::function<void()> onHistoryDropped;
    /// Called when a listing is older than the view.
    std::function<void(std::uint64_t listingRevision)> onListingIgnored;
    /// Called when a request for changes to another host has ended; isAnswered tells whether it gave the
    /// changes.
    std::function<void(const core::socket_address& relay, bool isAnswered)> onFetched;
    /// Called when it is known that changes may have been missed and the store or a neighbour can be asked
    /// for them; cause is a static name for the log.
    std::function<void(const char* cause)> onCatchUpStarted;
    std::function<void(const catch_up_summary&)> onCatchUpEnded;
};

} // namespace shallotcove::daemon
