#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/core/routing_snapshot.hpp>
#include <shallotcove/core/server_limit.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// Limits of backend servers, the hosts that have acknowledged each of them, and its stage on this host.
class limit_table {
public:
    using server_key = std::pair<service_id, backend_server_id>;

    limit_table(host_id self, std::uint64_t randomSeed);

    // Commands.

    /// Merges a limit from another host; true if it replaces the one in the table.
    bool merge(host_id from, const limit_update&, timestamp now);
    /// Adds a limit that this host proposes.
    void propose(const server_limit&, timestamp now);
    /// Removes the acknowledgements of a host that has restarted, because it no longer has the limits.
    void handleHostRestart(host_id, timestamp now);
    /// Forgets restarts that are so long ago that no message from before them can still arrive.
    void expireRestarts(timestamp now);
    /// Acknowledges cleared limits of services for which this host holds no flows that were placed because of
    /// the limits.
    void acknowledgeCleared(const std::function<bool(service_id)>& hasExceptions, timestamp now);
    /// Moves limits to their next stage once this host and all hosts given have acknowledged them.
    void advance(const std::vector<host_id>& servingMembers, timestamp now);
    /// Removes limits of servers that have not been configured for 60 s.
    void removeUnconfigured(const std::set<server_key>& configured, timestamp now);
    /// Chooses limits that fit into the bytes given, for a message to receiver.
    std::vector<limit_update> selectUpdates(host_id receiver, std::size_t bytes);
    /// Whether a limit was added or replaced since the last call.
    bool takeUrgentFlag();
    /// Whether effectiveLimits() may have changed since the last call.
    bool takeChanged();

    // Queries.

    /// All limits in the table, including cleared ones.
    std::vector<server_limit> limits() const;
    /// Limits that the packet path has to take into account.
    std::vector<effective_limit> effectiveLimits() const;
    /// Servers with a limit that every alive host has acknowledged.
    std::set<server_key> limitedServers() const;

private:
    struct limit_record {
        effective_limit effective;
        timestamp replacedAt;
        std::set<host_id> acknowledged;
        /// Hosts that are known to have the limit, whether they have acknowledged it or not.
        std::set<host_id> hostsWithLimit;
        std::uint32_t sendsLeft {};
        /// Whether the limit is cleared and no host holds flows that were placed because of it.
        bool isFinished {};
        timestamp lastConfigured;
    };

    void replace(limit_record&, const server_limit&, timestamp now);
    limit_update updateOf(const limit_record&);
    bool isFromBeforeRestart(const limit_record&, host_id from, host_id acknowledging) const;

    host_id m_self;
    pcg32 m_random;
    std::map<server_key, limit_record> m_limits;
    std::map<host_id, timestamp> m_restartTimes;
    bool m_hasUrgentUpdate {};
    bool m_isChanged {};
};

} // namespace shallotcove::core
