#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/core/control_engine.hpp>

namespace shallotcove::core {

class config_replica;

/// Exchange of configuration between hosts, driven by the receiver: it pulls from one host with a higher
/// applied index, a window of bytes at a time, and adopts that index when it has all keys of an answer.
class config_exchange {
public:
    explicit config_exchange(std::uint64_t randomSeed);

    /// Returns the answer to a pull: keys modified after since, in chunks. It ends with the key or, for a
    /// value larger than the window, the chunk that fills the window.
    std::vector<config_push> answer(host_id receiver, const config_replica&, config_index since);
    /// Applies a chunk of an answer.
    void handlePush(host_id from, const config_push&, config_replica&, timestamp now);
    /// Whether a pull is open, or this host is behind and waits before it starts one.
    bool isPulling() const { return m_pull || m_behindSince; }
    /// Starts, continues or ends pulling and returns the next pull to send, if any. sources are the hosts
    /// that are not dead. waitsForWatch is set on a host that watches the store: it first waits for the watch
    /// to deliver the change.
    std::optional<addressed_message> advance(
        const config_replica&, const std::vector<const member*>& sources, bool waitsForWatch, timestamp now);

private:
    /// Value of a key of which some chunks are still missing.
    struct partial_value {
        config_index modified;
        std::string bytes;
        std::map<std::uint32_t, std::uint32_t> chunks;
        std::size_t received {};
    };
    struct answer_key {
        std::string key;
        config_index modified;

        friend bool operator==(const answer_key&, const answer_key&) = default;
    };
    /// Series of pulls from one host until this host has caught up, and the answer to the last of them so
    /// far.
    struct open_pull {
        host_id source;
        /// Index that the first pull asked from: the applied index, or 0 to get all keys.
        config_index start;
        /// Index that the last pull asked from: keys up to it have been received from this source.
        config_index cursor;
        /// Keys received from the source that are not deleted. If start is 0, these are all of its keys once
        /// the answer is complete.
        std::set<std::string> liveKeys;
        config_index upTo;
        std::uint32_t count {};
        std::map<std::uint32_t, answer_key> keys;
        std::size_t bytesSincePull {};
        timestamp sentAt;
        std::uint32_t retries {};
        bool shouldPullNow {};
    };

    std::optional<store_entry> addChunk(const config_push&, const config_replica&);
    void recordKey(const config_push&, config_replica&);
    void applyAnswerIndex(const config_push&, config_replica&);
    void advanceCursor();
    addressed_message pull(const member& source, timestamp now);

    pcg32 m_random;
    std::map<std::string, partial_value> m_partials;
    /// For each receiver: first chunk of the next answer with a value larger than the window.
    std::map<host_id, std::size_t> m_nextChunk;
    std::optional<open_pull> m_pull;
    std::optional<timestamp> m_behindSince;
};

} // namespace shallotcove::core
