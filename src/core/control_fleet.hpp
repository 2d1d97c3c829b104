#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/core/control_engine.hpp>
#include <shallotcove/core/routing_snapshot.hpp>

namespace shallotcove::core {

/// Simulates a fleet for tests: control engines that exchange messages through a deterministic queue, and a
/// store that some of them watch.
class control_fleet {
public:
    struct host {
        std::optional<control_engine> engine;
        bool isPaused {};
        bool holdsLease {};
        config_index watchedUpTo;
        control_engine_output last;
        std::shared_ptr<const routing_snapshot> snapshot;
        std::uint64_t messages {};
        std::uint64_t bytes {};
    };

    explicit control_fleet(std::size_t count, std::uint64_t seed = 1);

    void start(std::size_t index, const std::vector<socket_address>& seeds);
    void stop(std::size_t index) { hosts[index].engine.reset(); }
    void run(
        duration length, const std::function<void()>& check = [] {});
    /// Runs until condition holds. Returns the time it took, or nothing if it did not hold within limit.
    std::optional<duration> runUntil(const std::function<bool()>& condition, duration limit);
    config_index write(const std::string& key, const std::string& value, bool isDeleted = false);
    std::vector<listed_host> hostList() const;

    static socket_address addressOf(std::size_t index);
    static host_id idOf(std::size_t index) { return hostIdFor(addressOf(index)); }
    /// The host with index seen as known to viewer; nothing if it is unknown there.
    std::optional<member> view(std::size_t viewer, std::size_t seen) const;
    /// States of all hosts as known to viewer; Dead for unknown ones.
    std::vector<member_state> states(std::size_t viewer) const;
    /// Whether all running hosts see all running hosts as alive.
    bool isConverged() const;
    bool haveAllApplied(config_index) const;

    std::vector<host> hosts;
    timestamp now;
    double loss {};
    double duplication {};
    duration delay { std::chrono::microseconds { 1500 } };
    duration jitter { std::chrono::microseconds { 500 } };
    std::function<bool(std::size_t from, std::size_t to)> isCut
        = [](std::size_t, std::size_t) { return false; };
    bool isStoreUp { true };
    /// Called for each write of a planner. Returns whether the store carries it out, and the result that the
    /// planner gets, where nothing means that the answer was lost.
    std::function<std::pair<bool, std::optional<bool>>(const store_write&, bool isCurrent)> onWrite
        = [](const store_write&, bool isCurrent) {
              return std::pair { isCurrent, std::optional(isCurrent) };
          };
    std::map<std::string, store_entry> store;
    config_index revision { 1 };
    std::size_t dataCentres { 3 };
    std::size_t largestMessage {};
    /// Interval of the calls of advance() that no message causes.
    duration tick { std::chrono::milliseconds { 10 } };

private:
    struct datagram {
        std::size_t from {};
        std::size_t to {};
        peer_message message;
    };

    void step();
    void deliverStoreChanges(std::size_t index);
    void dispatch(std::size_t index);

    pcg32 m_random;
    std::multimap<timestamp, datagram> m_queue;
    std::map<socket_address, std::size_t> m_indexes;
    std::uint64_t m_incarnations { 1000 };
};

/// Upper estimate of a message's encoded size in bytes.
std::size_t encodedBytes(const peer_message&);

} // namespace shallotcove::core
