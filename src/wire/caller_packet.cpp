#include <shallotcove/wire/caller_packet.hpp>

#include <algorithm>

#include <shallotcove/wire/segment.hpp>

#include "byte_order.hpp"

namespace shallotcove::wire {

namespace {

    // Protocol numbers of the inner packet in the GUE header (IANA: IPv4 and IPv6 encapsulation).
    constexpr std::uint8_t gueIpv4 = 4;
    constexpr std::uint8_t gueIpv6 = 41;

} // namespace

tl::expected<caller_packet, packet_error> parseGue(std::span<const std::byte> datagram)
{
    if (datagram.size() < gueHeaderBytes)
        return tl::unexpected(packet_error::TooShort);
    const std::uint8_t firstByte = std::to_integer<std::uint8_t>(datagram[0]);
    if ((firstByte >> 6) != 0)
        return tl::unexpected(packet_error::UnknownGueVersion);
    if ((firstByte & 0x20) != 0)
        return tl::unexpected(packet_error::ControlMessage);
    if (loadNumber<std::uint16_t>(datagram, 2) != 0)
        return tl::unexpected(packet_error::UnknownGueFlags);
    // If no flags are set, the additional words of the header are private data, which may be skipped.
    const std::size_t headerBytes = gueHeaderBytes + 4 * static_cast<std::size_t>(firstByte & 0x1f);
    if (datagram.size() <= headerBytes)
        return tl::unexpected(packet_error::TooShort);
    const std::uint8_t protocol = std::to_integer<std::uint8_t>(datagram[1]);
    if (protocol != gueIpv4 && protocol != gueIpv6)
        return tl::unexpected(packet_error::UnknownInnerProtocol);
    const std::span<const std::byte> inner = datagram.subspan(headerBytes);
    if (std::to_integer<std::uint8_t>(inner[0]) >> 4 != (protocol == gueIpv4 ? 4 : 6))
        return tl::unexpected(packet_error::MalformedInner);
    return parseInner(inner);
}

tl::expected<caller_packet, packet_error> parseInner(std::span<const std::byte> inner)
{
    const tl::expected<parsed_segment, packet_error> parsed = parseSegment(inner);
    if (!parsed)
        return tl::unexpected(parsed.error());
    const segment& content = parsed->segment;
    caller_packet packet;
    packet.inner = inner.first(parsed->packetBytes);
    packet.summary.key = { content.source, content.destination, content.protocol };
    packet.summary.isFirst = (content.flags & (tcpSyn | tcpAck)) == tcpSyn;
    packet.summary.isFinal = (content.flags & tcpFin) != 0;
    packet.summary.isReset = (content.flags & tcpRst) != 0;
    packet.summary.bytes = static_cast<std::uint32_t>(parsed->packetBytes);
    return packet;
}

void writeGueHeader(std::span<std::byte, gueHeaderBytes> out, std::uint8_t ipVersion)
{
    std::fill(out.begin(), out.end(), std::byte { 0 });
    out[1] = std::byte { ipVersion == 4 ? gueIpv4 : gueIpv6 };
}

} // namespace shallotcove::wire
