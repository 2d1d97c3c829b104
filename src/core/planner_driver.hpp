#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <shallotcove/core/control_engine.hpp>
#include <shallotcove/core/planner.hpp>

namespace shallotcove::core {

class config_replica;
class member_table;

/// Runs the planner while this host holds the planner's lease, with at most one pending write per key.
class planner_driver {
public:
    explicit planner_driver(duration leaseDuration);

    void handleLease(bool isHeld, timestamp now);
    void handleWriteResult(const std::string& key, std::optional<bool> wasWritten, timestamp now);
    /// Whether this host still holds the lease for certain. The lease also expires locally, so a host that
    /// was paused stops planning by itself even if it was not notified of the loss.
    bool holdsLease(timestamp now) const;
    /// Plans the services of the input, except those with a pending write: one that has no result yet, or
    /// whose new value has not arrived.
    std::vector<store_write> advance(planner_input input, const config_replica&, timestamp now);

private:
    struct pending_write {
        config_index expected;
        /// Set when the write has ended, whatever its result. The key is planned again when its new value
        /// arrives, or after a time-out.
        std::optional<timestamp> endedAt;
        timestamp startedAt;
    };

    void eraseCompletedWrites(const config_replica&, timestamp now);

    duration m_leaseDuration;
    std::optional<timestamp> m_leaseExpiry;
    planner m_planner;
    std::map<std::string, pending_write> m_pendingWrites;
};

/// Fills in the fields of the input that summarize the hosts that may be serving.
void addHostProgress(planner_input&, const member_table&, timestamp now);

} // namespace shallotcove::core
