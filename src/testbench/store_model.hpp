#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace shallotcove::testbench {

/// A key as the etcd v3 API describes it.
struct stored_key {
    std::string key;
    std::string value;
    std::int64_t createRevision {};
    std::int64_t modRevision {};
    std::int64_t version {};
    std::int64_t lease {};
};

struct stored_event {
    /// For a deletion: key and revision only.
    stored_key key;
    bool isDeletion {};
};

/// Keys from begin (inclusive) to end (exclusive). An empty end means the single key begin; an end of one
/// zero byte means all keys from begin on.
struct key_range {
    std::string begin;
    std::string end;

    bool contains(const std::string& key) const;
};

struct store_operation {
    enum class kind : std::uint8_t { Put, Delete };
    kind type { kind::Put };
    key_range range;
    std::string value;
    std::int64_t lease {};
};

/// Condition of a transaction: the key was last modified at this revision, or does not exist if it is 0.
struct store_condition {
    std::string key;
    std::int64_t modRevision {};
};

/// State of the store stand-in: keys with revisions, leases, and the history that watches read. Uses no
/// sockets and no clock.
class store_model {
public:
    enum class error : std::uint8_t { LeaseNotFound, Compacted, FutureRevision };
    using time = std::chrono::nanoseconds;

    std::int64_t revision() const { return m_revision; }
    std::int64_t compactedRevision() const { return m_compactedRevision; }
    std::vector<stored_key> range(const key_range&) const;
    /// Returns true if all conditions held and the operations were applied as one revision.
    tl::expected<bool, error> transact(
        const std::vector<store_condition>&, const std::vector<store_operation>&);
    std::int64_t grantLease(std::chrono::seconds timeToLive, time now);
    /// Returns the time to live, or nothing for an unknown lease.
    std::optional<std::chrono::seconds> keepLeaseAlive(std::int64_t id, time now);
    tl::expected<void, error> revokeLease(std::int64_t id);
    /// Deletes the keys of leases that have expired.
    void expireLeases(time now);
    /// Discards the history before this revision.
    tl::expected<void, error> compact(std::int64_t revision);
    /// Changes from this revision on, in order.
    tl::expected<std::vector<stored_event>, error> eventsSince(std::int64_t revision, const key_range&) const;

private:
    struct lease_state {
        std::chrono::seconds timeToLive {};
        time expiry {};
    };

    void apply(const store_operation&);
    void erase(const key_range&);
    void eraseLease(std::int64_t id);

    std::int64_t m_revision { 1 };
    std::int64_t m_compactedRevision {};
    std::int64_t m_nextLease { 1000 };
    std::map<std::string, stored_key> m_keys;
    std::map<std::int64_t, lease_state> m_leases;
    std::vector<stored_event> m_history;
};

} // namespace shallotcove::testbench
