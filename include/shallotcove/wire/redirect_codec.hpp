#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include <tl/expected.hpp>

#include <shallotcove/core/decision.hpp>

namespace shallotcove::wire {

class peer_key;

enum class redirect_error : std::uint8_t { TooShort, UnknownVersion, BadChecksum, Malformed };

/// Length of the prefix that writeRedirect() writes for an inner packet: version byte, fields, keyed
/// checksum.
inline constexpr std::size_t redirectPrefixBytes = 96;

struct redirected_packet {
    core::redirect_header header;
    /// The inner IP packet, a view of the datagram's bytes.
    std::span<const std::byte> inner;
};

/// Whether a datagram on the packet socket is a redirect rather than GUE. Decided by the first byte.
bool isRedirect(std::span<const std::byte> datagram);

/// Writes the prefix for an inner packet. The checksum covers the prefix and the packet.
void writeRedirect(const core::redirect_header&, std::span<const std::byte> inner, const peer_key&,
    std::span<std::byte, redirectPrefixBytes> out);

/// Verifies the checksum of a redirect and parses its header. Does not allocate.
tl::expected<redirected_packet, redirect_error> parseRedirect(
    std::span<const std::byte> datagram, const peer_key&);

} // namespace shallotcove::wire
