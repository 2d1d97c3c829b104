#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/exchange_requirements.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/host_directory_options.hpp>
#include <shallotcove/steering/host_position.hpp>
#include <shallotcove/steering/load_report.hpp>
#include <shallotcove/steering/neighbour_message.hpp>
#include <shallotcove/steering/outgoing_message.hpp>
#include <shallotcove/steering/readiness.hpp>
#include <shallotcove/steering/steering_engine.hpp>
#include <shallotcove/steering/view_report.hpp>
#include <shallotcove/steering/watch_role.hpp>

namespace shallotcove::steering {

/// Discovers the other hosts through seeds and through the host lists that hosts exchange, and schedules the
/// messages to them. Works without the store.
class host_directory {
public:
    explicit host_directory(host_directory_options);

    // Commands.

    /// Returns the answer if the message requests hosts or loads.
    std::optional<outgoing_message> handle(std::uint32_t from, const neighbour_message&,
        const load_report& dataCentreLoads, const view_report&, core::timestamp now);
    /// Drops hosts that were not seen for too long and returns the messages that are due.
    std::vector<outgoing_message> advance(
        const load_report&, const view_report&, const exchange_requirements&, core::timestamp now);
    /// Returns whether the set of known hosts changed since the last call, and resets it.
    bool takeChanged();

    // Queries.

    /// Addresses of all known hosts, this one included, sorted.
    std::vector<std::uint32_t> addresses() const;
    /// Whether a message from a host of the data centre arrived at or after this time.
    bool hasMessageSince(const std::string& dataCentre, core::timestamp since) const;
    /// Whether a message from a known host of the data centre ever arrived.
    bool hasMessageFrom(const std::string& dataCentre) const;
    /// Number of other hosts of this data centre that sent a message recently.
    std::size_t neighbourCount(core::timestamp now) const;
    /// Position of this host among the live hosts of its data centre in the order of their addresses, and the
    /// number of these hosts.
    host_position position(core::timestamp now) const;
    /// Interval at which each neighbour gets this host's loads while they change. Grows with the number of
    /// neighbours.
    core::duration loadReportInterval() const { return m_loadReportInterval; }
    /// Whether this host watches the store itself or learns of changes from a neighbour that does.
    watch_role watchRole(core::timestamp now) const;
    /// Highest store revision that any host has reported.
    std::uint64_t highestRevision() const { return m_highestRevision; }

private:
    struct contact_state {
        std::string dataCentre;
        std::uint32_t capacity {};
        std::optional<core::timestamp> lastReceivedAt;
        std::optional<core::timestamp> lastSentAt;
        /// When a message from this host, or a host list that contains it, last arrived.
        core::timestamp reportedAt;
        std::uint64_t storeRevision {};
        bool isWatching {};
        core::duration viewAge {};
        /// Newest format in the last message of the host. Hosts that have sent none may be former ones.
        message_format format { message_format::Version2 };
        /// Number of the next part of a load report that does not fit one message.
        std::size_t nextPart {};
    };

    /// Adds the loads to a message to a host of this data centre, or a part of them if they do not fit.
    void addLoads(outgoing_message&, contact_state&, const load_report&) const;
    neighbour_message heartbeat(const view_report&, core::timestamp now) const;
    bool isActiveNeighbour(const contact_state&, core::timestamp now) const;
    bool isLocal(const contact_state& contact) const
    {
        return contact.dataCentre == m_options.self.dataCentre;
    }
    /// Interval between two messages to the contact.
    core::duration sendInterval(const contact_state&, const exchange_requirements&, bool hasNewLoads) const;
    /// Interval at which all other hosts of this data centre get one message each if this host sends the
    /// given number per second, but at least loadInterval.
    core::duration localInterval(double messagesPerSecond) const;
    /// Interval between messages to another data centre while nothing is urgent.
    core::duration remoteInterval() const;
    void addOrRefresh(const host_descriptor&, core::timestamp now);
    core::timestamp lastSeen(const contact_state& contact) const;
    bool isAlive(const contact_state&, core::timestamp now) const;
    /// Number of active hosts of this data centre that come before this one as relays: those with more
    /// capacity, or with the same capacity and a lower address.
    std::size_t precedingRelayCandidateCount(core::timestamp now) const;
    std::vector<host_descriptor> hostsForAnswer(std::uint32_t receiver, core::timestamp now);
    void querySeeds(std::vector<outgoing_message>&, const view_report&, core::timestamp now);
    /// Selects the hosts of each other data centre that this host exchanges messages with, and counts the
    /// live hosts of its own data centre.
    void selectContacts(core::timestamp now);

    host_directory_options m_options;
    std::map<std::uint32_t, contact_state> m_contacts;
    std::set<std::uint32_t> m_remoteContacts;
    /// Number of other hosts of this data centre that messages go to.
    std::size_t m_localContactCount {};
    std::map<std::uint32_t, core::timestamp> m_seedsQueriedAt;
    std::map<std::string, core::timestamp> m_hostsRequestedAt;
    /// Address at which the next answer with hosts begins, so that successive answers list all of a fleet
    /// that does not fit one message.
    std::uint32_t m_nextListedAddress {};
    core::duration m_loadReportInterval;
    std::optional<core::timestamp> m_contactsSelectedAt;
    load_report m_lastLoads;
    /// Store revision that this host, as a relay, last sent to its neighbours without delay.
    std::uint64_t m_announcedRevision {};
    bool m_isChanged { true };
    std::uint64_t m_highestRevision {};
};

} // namespace shallotcove::steering
