#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include <tl/expected.hpp>

#include <shallotcove/core/decision.hpp>
#include <shallotcove/core/flow.hpp>

namespace shallotcove::wire {

enum class packet_error : std::uint8_t {
    TooShort,
    UnknownGueVersion,
    ControlMessage,
    UnknownInnerProtocol,
    MalformedInner,
    Fragment,
    UnsupportedTransport,
    /// The GUE header sets flags. They may change the meaning of the inner packet, and none is supported.
    UnknownGueFlags,
    /// The IPv6 header is followed by an extension header other than the fragment header.
    ExtensionHeader,
    /// The checksum of the inner IPv4 header is wrong.
    BadHeaderChecksum,
};

/// A caller packet within its GUE datagram. Valid as long as the bytes of the datagram are.
struct caller_packet {
    core::packet_summary summary;
    /// The inner IP packet.
    std::span<const std::byte> inner;
};

/// Length of a GUE header without optional fields.
inline constexpr std::size_t gueHeaderBytes = 4;

/// Parses a GUE datagram (variant 0, inner IPv4 or IPv6, TCP or UDP). Does not allocate.
tl::expected<caller_packet, packet_error> parseGue(std::span<const std::byte> datagram);

/// Parses an inner IP packet on its own, such as the one that follows a redirect header.
tl::expected<caller_packet, packet_error> parseInner(std::span<const std::byte> inner);

/// Writes the GUE header for an inner packet of this IP version (4 or 6).
void writeGueHeader(std::span<std::byte, gueHeaderBytes> out, std::uint8_t ipVersion);

/// Largest refusal datagram in bytes.
inline constexpr std::size_t maximumRefusalBytes = 128;

/// Builds the datagram that refuses a caller packet, GUE header included: a TCP reset for a TCP segment, an
/// ICMP or ICMPv6 error "administratively prohibited" for a UDP datagram. Returns its length in bytes, or 0
/// if the packet must not be answered (a TCP reset, or a source address that is not a single host's).
std::size_t buildRefusal(const caller_packet&, std::span<std::byte, maximumRefusalBytes> out);

} // namespace shallotcove::wire
