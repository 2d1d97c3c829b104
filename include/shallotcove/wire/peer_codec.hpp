#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/wire/peer_key.hpp>

namespace shallotcove::wire {

/// Range of peer message versions that this build reads. It writes the newest.
inline constexpr std::uint8_t oldestPeerVersion = 1;
inline constexpr std::uint8_t newestPeerVersion = 1;

enum class peer_codec_error : std::uint8_t {
    TooShort,
    TooLong,
    BadChecksum,
    Malformed,
    UnknownVersion,
    UnknownType,
    Replayed,
};

/// Header of every peer message.
struct peer_envelope {
    core::host_id sender;
    std::uint64_t incarnation {};
    /// Increases by one with each message of an incarnation, so that receivers can drop replayed messages.
    std::uint64_t sequence {};

    friend bool operator==(const peer_envelope&, const peer_envelope&) = default;
};

struct received_message {
    peer_envelope envelope;
    core::peer_message message;

    friend bool operator==(const received_message&, const received_message&) = default;
};

/// Encodes a message and appends its checksum. Fails with TooLong if the result would exceed
/// core::maximumPeerMessageBytes or if a field of the message exceeds its own limit.
tl::expected<std::vector<std::byte>, peer_codec_error> encodePeerMessage(
    const peer_envelope&, const core::peer_message&, const peer_key&);

/// Verifies the checksum and decodes the message. Does not detect replays; see replay_filter.
tl::expected<received_message, peer_codec_error> decodePeerMessage(
    std::span<const std::byte>, const peer_key&);

} // namespace shallotcove::wire
