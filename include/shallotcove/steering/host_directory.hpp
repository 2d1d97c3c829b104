#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/neighbour_message.hpp>

namespace shallotcove::steering {

struct host_directory_options {
    known_host self;
    /// Hosts to join through; some may be gone.
    std::vector<std::uint32_t> seeds;

    /// How often a neighbour gets this host's loads: the time of a few placements on a busy host.
    core::duration loadInterval { std::chrono::milliseconds { 50 } };
    /// Messages to neighbours per second, over which the interval grows with their number.
    double messagesPerSecond { 100 };
    /// Interval while the loads stay the same. Well below the time that a neighbour takes them for valid.
    core::duration idleInterval { std::chrono::milliseconds { 200 } };
    /// Interval between data centres, whose links are priced.
    core::duration farInterval { std::chrono::milliseconds { 2000 } };
    /// Hosts of each other data centre that get messages, so that their number does not grow with the fleet.
    std::size_t farContacts { 3 };
    /// The same while this host needs to know which data centres it can reach.
    core::duration urgentFarInterval { std::chrono::milliseconds { 250 } };
    /// The same while it needs their loads; with three contacts, every 50 ms one is asked.
    core::duration loadFarInterval { std::chrono::milliseconds { 150 } };
    core::duration seedInterval { std::chrono::milliseconds { 1000 } };
    /// The same while no other host is known: a fleet that starts together finds itself within a blink.
    core::duration firstSeedInterval { std::chrono::milliseconds { 100 } };
    /// A silent host gets messages this long, and is counted among all hosts for the longer time.
    /// A host that was heard within this time is taken to be serving; a few intervals of messages.
    core::duration recentlyHeard { std::chrono::milliseconds { 1000 } };
    /// From so many hosts in a data centre on, only the first few watch the store and the others ask them.
    /// With fewer hosts, the shorter waits of those that others rely on cost more calls than they save.
    std::size_t hostsForRelays { 6 };
    std::size_t relays { 2 };
    /// A relay that the store did not answer for so long is not relied on: its wait for changes, and an
    /// answer.
    core::duration longestRelayAge { std::chrono::milliseconds { 2200 } };
    core::duration silence { std::chrono::seconds { 10 } };
    core::duration memory { std::chrono::seconds { 120 } };
};

/// What this host tells others of its view of the store.
struct view_report {
    std::uint64_t revision {};
    bool isWatching {};
    core::timestamp answeredAt;
};

/// Where this host learns of changes of the store.
struct watch_duty {
    /// It watches the store itself.
    bool shouldWatch { true };
    /// Others rely on it.
    bool isRelay {};
    /// Otherwise: a host that watches, and what it knows.
    std::uint32_t relay {};
    std::uint64_t relayRevision {};

    friend bool operator==(const watch_duty&, const watch_duty&) = default;
};

/// What this host needs to learn from other data centres soon.
struct far_needs {
    /// Whether it can reach them.
    bool reachability {};
    /// What they place on the servers: its own data centre has no room.
    bool loads {};
};

struct outgoing_message {
    std::uint32_t to {};
    neighbour_message message;
};

/// Finds the other hosts through seeds and what hosts tell each other, and decides who gets which message
/// when. The store is not needed for it.
class host_directory {
public:
    explicit host_directory(host_directory_options);

    // Commands.

    /// The answer, if the message asks for one.
    std::optional<outgoing_message> handle(std::uint32_t from, const neighbour_message&,
        const load_report& placeLoads, const view_report&, core::timestamp now);
    std::vector<outgoing_message> advance(
        const load_report&, const view_report&, const far_needs&, core::timestamp now);
    /// Whether the set of known hosts changed since the last call.
    bool takeChanged();

    // Queries.

    /// Addresses of all known hosts, this one included, sorted.
    std::vector<std::uint32_t> addresses() const;
    /// Whether a host of the data centre was heard at or after this time.
    bool wasHeard(const std::string& dataCentre, core::timestamp since) const;
    bool knowsHostsIn(const std::string& dataCentre) const;
    /// Other hosts of this data centre that were heard not long ago.
    std::size_t neighbourCount(core::timestamp now) const;
    /// Whether this host has to watch the store, or which neighbour does.
    watch_duty duty(core::timestamp now) const;
    /// The highest revision of the store that a host told of.
    std::uint64_t highestRevision() const { return m_highestRevision; }

private:
    struct contact {
        std::string dataCentre;
        std::optional<core::timestamp> heardAt;
        std::optional<core::timestamp> sentAt;
        core::timestamp knownSince;
        std::uint64_t storeRevision {};
        bool isWatching {};
        core::duration viewAge {};
    };

    neighbour_message greeting(const view_report&, core::timestamp now) const;
    bool isRecent(const contact&, core::timestamp now) const;
    core::duration intervalOf(const contact&, const far_needs&, bool hasNewLoads, core::timestamp now) const;
    void learn(const known_host&, core::timestamp now);
    /// Whether the host of another data centre is one of those that this host exchanges messages with.
    bool isFarContact(std::uint32_t address, const contact&, core::timestamp now) const;

    host_directory_options m_options;
    std::map<std::uint32_t, contact> m_contacts;
    std::map<std::uint32_t, core::timestamp> m_seedsAskedAt;
    load_report m_lastLoads;
    core::timestamp m_loadsSentAt;
    bool m_isChanged { true };
    std::uint64_t m_highestRevision {};
};

} // namespace shallotcove::steering
