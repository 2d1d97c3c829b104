#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "operator_store.hpp"
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/store_view.hpp>
#include <shallotcove/steering/view_update.hpp>

namespace shallotcove::daemon {

/// What the store follower tells. All calls come from its io_context.
struct store_follower_events {
    std::function<void(const std::vector<steering::view_update>&)> onUpdates;
    /// A call failed; the cause is a word for the log. Called once for each failed call.
    std::function<void(const char* call, const char* cause, bool isFirst)> onFailed;
    std::function<void(const char* call, core::duration outage, std::uint64_t failedCalls)> onAnswered;
    std::function<void()> onHistoryDropped;
    std::function<void(std::uint64_t listingRevision)> onListingIgnored;
    /// Changes came from another host, or could not be had from it.
    std::function<void(const core::socket_address& relay, bool isAnswered)> onFetched;
};

} // namespace shallotcove::daemon
