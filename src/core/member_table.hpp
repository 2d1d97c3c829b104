#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/core/control_engine.hpp>

namespace shallotcove::core {

/// Effect of a membership update on the table.
enum class merge_result : std::uint8_t {
    Stale,
    Known,
    /// The reported state is the same; indexes, blocked services or the planner flag changed.
    Refreshed,
    /// State or incarnation changed.
    Changed,
    /// The member was unknown.
    Added,
};

/// Members of the fleet as this host sees them, the platform's host list, and updates still to be gossiped.
class member_table {
public:
    member_table(const member& self, duration suspicionTimeout, std::uint64_t randomSeed);

    // Commands.

    /// isDirect: the update was sent by the member itself.
    merge_result merge(const member& update, bool isDirect, timestamp now);
    void suspect(host_id, timestamp now);
    /// Declares members dead whose suspicion timed out, and removes members that have been dead for long and
    /// are no longer listed.
    void expire(timestamp now);
    /// Extends all timers by a pause of this host.
    void shiftTimers(duration pause);
    void setAppliedIndex(config_index);
    void setScanResults(
        config_index retirement, config_index prepared, const std::vector<service_id>& blocked);
    void setPlanner(bool isPlanner);
    void leave();
    void setListedHosts(const std::vector<listed_host>&, timestamp now);
    /// Picks at most limit members for a message: this host, the receiver itself if it is not seen as alive,
    /// so that it can refute that, then queued updates. With addRandomMember, one random member without a
    /// queued update is added if there is room.
    std::vector<member> selectUpdates(host_id receiver, std::size_t limit, bool addRandomMember);
    /// Whether anything changed since the last call that should be announced at once.
    bool takeUrgentFlag();
    /// Whether the set of members, a state or an address changed since the last call.
    bool takeChanged();

    // Queries.

    const member& self() const { return m_self; }
    const member* find(host_id) const;
    /// All members but this host, valid until the next command.
    std::vector<const member*> otherMembers() const;
    /// Alive and suspect members sorted by id, this host included unless it is leaving.
    std::vector<member> owners() const;
    /// Ids of members that may be serving: alive, suspect or leaving; without this host.
    std::vector<host_id> servingMembers() const;
    std::vector<host_id> deadMembers() const;
    /// Highest applied index of other members that may be serving.
    config_index highestAppliedIndex() const;
    const std::map<host_id, listed_host>& listed() const { return m_listed; }
    bool hasHostList() const { return m_hasList; }
    /// Whether a listed host is not a member yet and has been listed for less than grace.
    bool hasUnseenListedHost(timestamp now, duration grace) const;

private:
    struct known_member {
        member info;
        timestamp stateSince;
        /// Time since when a leaving host has not answered probes.
        std::optional<timestamp> failingSince;
        std::uint32_t sendsLeft {};
        bool isStateUpdate {};
    };

    merge_result mergeSelf(const member& update);
    /// Whether a reported death must only raise a suspicion here.
    bool shouldSuspectFirst(const known_member&, const member& update, timestamp now) const;
    void changeState(known_member&, member_state, timestamp now);
    void queueUpdate(known_member&, bool isStateUpdate);
    /// Number of messages that carry an update, three times as many for a change of state. Grows with the
    /// logarithm of the number of members.
    std::uint32_t baseTransmissions() const;
    bool shouldRemove(const known_member&, timestamp now) const;

    member m_self;
    duration m_suspicionTimeout;
    pcg32 m_random;
    std::map<host_id, known_member> m_members;
    std::map<host_id, listed_host> m_listed;
    std::map<host_id, timestamp> m_listedSince;
    bool m_hasList {};
    bool m_hasUrgentUpdate {};
    bool m_isChanged { true };
};

} // namespace shallotcove::core
