#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/far_needs.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/host_directory_options.hpp>
#include <shallotcove/steering/load_report.hpp>
#include <shallotcove/steering/neighbour_message.hpp>
#include <shallotcove/steering/outgoing_message.hpp>
#include <shallotcove/steering/readiness.hpp>
#include <shallotcove/steering/steering_engine.hpp>
#include <shallotcove/steering/view_report.hpp>
#include <shallotcove/steering/watch_duty.hpp>

namespace shallotcove::steering {

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
    /// How often a neighbour gets this host's loads; grows with their number.
    core::duration loadInterval() const;
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
    core::duration intervalOf(const contact&, const far_needs&, bool hasNewLoads) const;
    void learn(const known_host&, core::timestamp now);
    bool isAlive(const contact&, core::timestamp now) const;
    /// Chooses the hosts of each other data centre that this host exchanges messages with, and counts those
    /// of its own.
    void chooseContacts(core::timestamp now);

    host_directory_options m_options;
    std::map<std::uint32_t, contact> m_contacts;
    std::set<std::uint32_t> m_farContacts;
    /// Hosts of this data centre that messages go to.
    std::size_t m_nearContacts {};
    std::map<std::uint32_t, core::timestamp> m_seedsAskedAt;
    load_report m_lastLoads;
    core::timestamp m_loadsSentAt;
    bool m_isChanged { true };
    std::uint64_t m_highestRevision {};
};

} // namespace shallotcove::steering
