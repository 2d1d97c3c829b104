#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include <tl/expected.hpp>

#include <shallotcove/core/flow.hpp>
#include <shallotcove/wire/caller_packet.hpp>

namespace shallotcove::wire {

/// Bits of segment::flags.
inline constexpr std::uint8_t tcpFin = 0x01;
inline constexpr std::uint8_t tcpSyn = 0x02;
inline constexpr std::uint8_t tcpRst = 0x04;
inline constexpr std::uint8_t tcpPsh = 0x08;
inline constexpr std::uint8_t tcpAck = 0x10;

/// One TCP segment or UDP datagram with the addresses of the IP packet that carries it.
struct segment {
    core::socket_address source;
    core::socket_address destination;
    core::transport protocol { core::transport::Tcp };
    /// sequence, acknowledgement and flags are used for TCP only.
    std::uint32_t sequence {};
    std::uint32_t acknowledgement {};
    std::uint8_t flags {};
    /// View of the packet's bytes.
    std::span<const std::byte> payload;
};

struct parsed_segment {
    wire::segment segment;
    /// Length of the IP packet according to its header. Bytes after it are padding.
    std::size_t packetBytes {};
};

/// Parses an IPv4 or IPv6 packet with TCP or UDP. Checks every length and the IPv4 header checksum, but
/// not the transport checksum, which the receiving endpoint verifies (see isTransportChecksumValid()). Does
/// not allocate.
tl::expected<parsed_segment, packet_error> parseSegment(std::span<const std::byte> packet);

/// Writes an IP packet without options: IPv4 if both addresses are IPv4, IPv6 if neither is. Returns its
/// length in bytes, or 0 if it does not fit into out or the address families differ.
std::size_t buildSegment(const segment&, std::span<std::byte> out);

/// Whether parseSegment() accepts the packet and its TCP or UDP checksum is valid. An absent UDP checksum on
/// IPv4 counts as valid.
bool isTransportChecksumValid(std::span<const std::byte> packet);

} // namespace shallotcove::wire
