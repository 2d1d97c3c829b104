#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include <shallotcove/wire/peer_codec.hpp>

namespace shallotcove::wire {

/// Detects replayed peer messages with a sliding window of 64 sequence numbers per sender.
class replay_filter {
public:
    /// Tracks at most this many senders (at least one). When full, evicts the sender whose last accepted
    /// message is oldest.
    static replay_filter create(std::size_t maximumSenders);

    /// Records the envelope. Returns false if it was received before, is older than the window, or belongs to
    /// an older incarnation.
    bool accept(const peer_envelope&);

private:
    struct sender_state {
        std::uint64_t incarnation {};
        std::uint64_t highestSequence {};
        /// Bit n is set if the message with sequence highestSequence - n was received.
        std::uint64_t receivedBits {};
        /// Value of m_messageCount at the last accepted message.
        std::uint64_t lastAccepted {};
    };

    explicit replay_filter(std::size_t maximumSenders);

    std::size_t m_maximumSenders;
    std::uint64_t m_messageCount {};
    std::unordered_map<core::host_id, sender_state> m_senders;
};

} // namespace shallotcove::wire
