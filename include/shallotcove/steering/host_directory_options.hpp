#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/neighbour_message.hpp>

namespace shallotcove::steering {

struct host_directory_options {
    host_descriptor self;
    /// Addresses of hosts to join through. Some of them may no longer exist.
    std::vector<std::uint32_t> seeds;

    /// Shortest interval between messages with loads to a neighbour: the time of a few placements on a busy
    /// host.
    core::duration loadInterval { std::chrono::milliseconds { 50 } };
    /// Messages per second to all neighbours together; with many neighbours, the interval to each one grows
    /// accordingly. The first value holds while servers are busy, while others learn of changes from this
    /// host and in a data centre too small for relays; the second one otherwise.
    double messagesPerSecond { 100 };
    double idleMessagesPerSecond { 25 };
    /// Interval while the loads stay the same. Well below the time for which a neighbour takes them as valid.
    core::duration unchangedLoadInterval { std::chrono::milliseconds { 200 } };
    /// Interval between messages to another data centre, whose links are charged for. Grows in proportion to
    /// the hosts of this data centre once they exceed hostsPerRemoteInterval, up to the longest interval.
    core::duration remoteInterval { std::chrono::milliseconds { 2000 } };
    std::size_t hostsPerRemoteInterval { 6 };
    core::duration longestRemoteInterval { std::chrono::seconds { 20 } };
    /// Interval at which a host of each data centre is asked for the hosts that it knows, so that hosts that
    /// send nothing to this one stay known. The first request to a data centre goes out sooner.
    core::duration hostListInterval { std::chrono::seconds { 30 } };
    core::duration firstHostListDelay { std::chrono::seconds { 2 } };
    /// Interval at which the contacts in other data centres are selected again.
    core::duration contactSelectionInterval { std::chrono::milliseconds { 500 } };
    /// Hosts of each other data centre that get messages. Limited so that the number of messages does not
    /// grow with the fleet.
    std::size_t remoteContacts { 3 };
    /// Replaces remoteInterval while this host has to find out which data centres it can reach.
    core::duration remoteProbeInterval { std::chrono::milliseconds { 250 } };
    /// Replaces remoteInterval while this host requests the loads of other data centres. With three contacts,
    /// one of them is asked every 50 ms.
    core::duration remoteLoadInterval { std::chrono::milliseconds { 150 } };
    /// Interval between requests to a seed that does not respond, and between messages to a host of this data
    /// centre that has not sent any yet.
    core::duration seedInterval { std::chrono::milliseconds { 1000 } };
    /// Replaces seedInterval while no other host is known, so that hosts that start together find each other
    /// within a fraction of a second.
    core::duration initialSeedInterval { std::chrono::milliseconds { 100 } };
    /// A neighbour that sent a message within this time counts as active: a few intervals of messages.
    /// Extended where the number of neighbours makes the intervals longer.
    core::duration neighbourTimeout { std::chrono::milliseconds { 1000 } };
    /// Number of hosts in a data centre from which on only the relayCount hosts with the most capacity watch
    /// the store and the others learn of changes from these. In a smaller data centre relays cost more calls
    /// than they save, as hosts that others rely on wait for changes for a shorter time.
    std::size_t minimumHostsForRelays { 6 };
    std::size_t relayCount { 2 };
    /// Longest time since the store last answered a relay for which others still rely on it: the duration of
    /// the relay's wait for changes, and of an answer.
    core::duration longestRelayViewAge { std::chrono::milliseconds { 2200 } };
    /// How long a host that is not seen still gets messages. Hosts of other data centres are given at least
    /// two host list intervals.
    core::duration aliveTimeout { std::chrono::seconds { 10 } };
    /// How long a host that is not seen still counts among all hosts.
    core::duration retention { std::chrono::seconds { 120 } };
};

} // namespace shallotcove::steering
