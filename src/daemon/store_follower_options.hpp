#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/metrics.hpp>

namespace shallotcove::daemon {

struct store_follower_options {
    core::socket_address address;
    /// Prefix of the keys that are listed and watched; one watch call covers all of them.
    std::string prefix;
    std::uint64_t randomSeed { 1 };
    /// How long a watch call waits for changes. A store that stops answering is detected when this time has
    /// passed, well within the time that hosts have to apply changes after such a failure.
    std::chrono::milliseconds watchWait { 3200 };
    /// The wait of a relay, on which other hosts rely for changes: within this time they learn that the relay
    /// cannot reach the store.
    std::chrono::milliseconds relayWatchWait { 1200 };
    /// The wait after a failed call, until a watch call is answered.
    std::chrono::milliseconds probeWatchWait { 300 };
    /// Time allowed for the header of an answer, in addition to the wait of a watch call. The store normally
    /// answers within milliseconds, and within a few hundred when it is slow.
    std::chrono::milliseconds answerTimeout { 800 };
    /// Time allowed for an answer once its header has arrived. A configuration of 1.2 MB takes 1 s at 10
    /// Mbit/s.
    std::chrono::milliseconds readTimeout { 5000 };
    std::chrono::milliseconds connectTimeout { 800 };
    /// Minimum time between the starts of two watch calls, so that one call returns several changes in quick
    /// succession. A third of the time that hosts have to apply a change.
    std::chrono::milliseconds minimumWatchInterval { 1000 };
    /// How long a starting host waits after the first page of several for a neighbour that has read them all.
    /// Without it, hosts that start together would all read every item over the link to the store. Zero for
    /// the hosts that others wait for.
    std::chrono::milliseconds neighbourWait { 0 };
    /// Time allowed for the answer of a neighbour that contains its complete view.
    std::chrono::milliseconds neighbourTimeout { 2000 };
    /// A watch is resumed after a failure if the last answer was applied within this time. Otherwise a
    /// catch-up begins, which costs at least three calls but reads each item only once.
    std::chrono::milliseconds resumeLimit { 3000 };
    /// If evacuations and servers have not been read for this long although the store answers, the host asks
    /// the routers for no callers.
    std::chrono::milliseconds catchingUpDelay { 1000 };
    /// Wait after a failed call; doubles with each further failure up to the maximum, with jitter.
    std::chrono::milliseconds minimumBackoff { 100 };
    std::chrono::milliseconds maximumBackoff { 1000 };
};

} // namespace shallotcove::daemon
