#pragma once

#include <utility>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/store_view.hpp>

namespace shallotcove::daemon {

struct store_follower_options {
    core::socket_address address;
    /// Keys that are read and watched; all of them in one call.
    std::string prefix;
    std::uint64_t randomSeed { 1 };
    /// How long a watch waits for changes. A store that goes silent is found out at its end, well within the
    /// time that hosts have to apply changes after such trouble.
    std::chrono::milliseconds watchWait { 3200 };
    /// The same for a host that others rely on: they hear within it that the store is out of its reach.
    std::chrono::milliseconds relayWait { 1200 };
    /// The same after a failed call, until one is answered.
    std::chrono::milliseconds probeWait { 300 };
    /// Time for an answer, besides the wait of a watch. The store answers in milliseconds; when it is slow,
    /// in some hundred.
    std::chrono::milliseconds answerTimeout { 800 };
    std::chrono::milliseconds connectTimeout { 800 };
    /// Least time between the starts of two watches: changes in quick succession come with one call. A third
    /// of the time that hosts have to apply a change.
    std::chrono::milliseconds leastInterval { 1000 };
    /// Wait after a failed call; doubles up to the longest, with jitter.
    std::chrono::milliseconds shortestBackoff { 100 };
    std::chrono::milliseconds longestBackoff { 1000 };
};

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

/// Where a host asks another one for changes after a revision.
std::string changesTarget(std::uint64_t afterRevision);
/// Answers such a question from a view; nothing for another target.
std::optional<std::string> answerChanges(const steering::store_view&, std::string_view target);

/// Keeps a view of the store up to date: reads all items once, then watches from that revision on.
class store_follower {
public:
    store_follower(boost::asio::io_context&, const store_follower_options&, steering::store_view&,
        store_follower_events);
    ~store_follower();

    void start();
    /// Other hosts know more than the view: gives up the call that is waiting and asks again.
    void restart();
    /// Begins to watch the store again; waits so long for changes from then on.
    void watch(std::chrono::milliseconds wait);
    /// Leaves the store alone: another host watches it and tells of changes.
    void rest();
    /// Reads the changes that another host knows, unless it is being asked already.
    void fetch(const core::socket_address& relay);

    std::uint64_t callCount() const;
    /// Time of the last answer.
    core::timestamp answeredAt() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
