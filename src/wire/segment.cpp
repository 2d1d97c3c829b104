#include <shallotcove/wire/segment.hpp>

#include <algorithm>
#include <array>
#include <cstring>

#include "byte_order.hpp"
#include "internet_checksum.hpp"
#include "ip_layout.hpp"

namespace shallotcove::wire {

namespace {

    struct ip_header {
        core::ip_address source;
        core::ip_address destination;
        std::uint8_t protocol {};
        std::size_t headerBytes {};
        std::size_t packetBytes {};
    };

    tl::expected<ip_header, packet_error> parseIpv4(std::span<const std::byte> packet)
    {
        if (packet.size() < ipv4HeaderBytes)
            return tl::unexpected(packet_error::TooShort);
        const std::size_t headerBytes = 4 * (std::to_integer<std::size_t>(packet[0]) & 0x0f);
        const std::size_t packetBytes = loadNumber<std::uint16_t>(packet, 2);
        if (headerBytes < ipv4HeaderBytes || packetBytes < headerBytes)
            return tl::unexpected(packet_error::MalformedInner);
        if (packet.size() < packetBytes)
            return tl::unexpected(packet_error::TooShort);
        if (foldChecksum(addWords(0, packet.first(headerBytes))) != 0)
            return tl::unexpected(packet_error::BadHeaderChecksum);
        // The fragment offset or "more fragments" is set. Only the first fragment contains the ports, so a
        // fragment cannot be assigned to its flow reliably.
        if ((loadNumber<std::uint16_t>(packet, 6) & 0x3fff) != 0)
            return tl::unexpected(packet_error::Fragment);
        return ip_header { core::ip_address::fromV4(loadNumber<std::uint32_t>(packet, 12)),
            core::ip_address::fromV4(loadNumber<std::uint32_t>(packet, 16)),
            std::to_integer<std::uint8_t>(packet[9]), headerBytes, packetBytes };
    }

    bool isExtensionHeader(std::uint8_t nextHeader)
    {
        constexpr std::array<std::uint8_t, 8> extensions { 0, 43, 51, 60, 135, 139, 140, 59 };
        return std::find(extensions.begin(), extensions.end(), nextHeader) != extensions.end();
    }

    tl::expected<ip_header, packet_error> parseIpv6(std::span<const std::byte> packet)
    {
        if (packet.size() < ipv6HeaderBytes)
            return tl::unexpected(packet_error::TooShort);
        ip_header header;
        header.protocol = std::to_integer<std::uint8_t>(packet[6]);
        header.headerBytes = ipv6HeaderBytes;
        header.packetBytes = ipv6HeaderBytes + loadNumber<std::uint16_t>(packet, 4);
        if (packet.size() < header.packetBytes)
            return tl::unexpected(packet_error::TooShort);
        std::memcpy(header.source.bytes.data(), packet.data() + 8, 16);
        std::memcpy(header.destination.bytes.data(), packet.data() + 24, 16);
        // IPv4-mapped addresses must not occur on the wire (RFC 4291, section 2.5.5). Here, such a packet
        // would be treated as one to the IPv4 service with the same address.
        if (header.source.isV4() || header.destination.isV4())
            return tl::unexpected(packet_error::MalformedInner);
        if (header.protocol == ipv6FragmentHeader)
            return tl::unexpected(packet_error::Fragment);
        if (isExtensionHeader(header.protocol))
            return tl::unexpected(packet_error::ExtensionHeader);
        return header;
    }

    tl::expected<ip_header, packet_error> parseIp(std::span<const std::byte> packet)
    {
        if (packet.empty())
            return tl::unexpected(packet_error::TooShort);
        switch (std::to_integer<std::uint8_t>(packet[0]) >> 4) {
        case 4:
            return parseIpv4(packet);
        case 6:
            return parseIpv6(packet);
        default:
            return tl::unexpected(packet_error::UnknownInnerProtocol);
        }
    }

    bool parseTcp(std::span<const std::byte> bytes, segment& result)
    {
        if (bytes.size() < tcpHeaderBytes)
            return false;
        const std::size_t headerBytes = 4 * (std::to_integer<std::size_t>(bytes[12]) >> 4);
        if (headerBytes < tcpHeaderBytes || headerBytes > bytes.size())
            return false;
        result.sequence = loadNumber<std::uint32_t>(bytes, 4);
        result.acknowledgement = loadNumber<std::uint32_t>(bytes, 8);
        result.flags = std::to_integer<std::uint8_t>(bytes[13]);
        result.payload = bytes.subspan(headerBytes);
        // No TCP implementation sends SYN together with FIN or RST. Such a packet would count as both the
        // first and the last of its flow.
        return (result.flags & tcpSyn) == 0 || (result.flags & (tcpFin | tcpRst)) == 0;
    }

    bool parseUdp(std::span<const std::byte> bytes, segment& result)
    {
        if (bytes.size() < udpHeaderBytes)
            return false;
        const std::size_t length = loadNumber<std::uint16_t>(bytes, 4);
        if (length < udpHeaderBytes || length > bytes.size())
            return false;
        result.payload = bytes.subspan(udpHeaderBytes, length - udpHeaderBytes);
        return true;
    }

    void writeTransport(const segment& content, std::span<std::byte> out)
    {
        storeNumber(out, 0, content.source.port);
        storeNumber(out, 2, content.destination.port);
        const bool isTcp = content.protocol == core::transport::Tcp;
        const std::size_t headerBytes = isTcp ? tcpHeaderBytes : udpHeaderBytes;
        std::fill(out.begin() + 4, out.begin() + static_cast<std::ptrdiff_t>(headerBytes), std::byte { 0 });
        if (isTcp) {
            storeNumber(out, 4, content.sequence);
            storeNumber(out, 8, content.acknowledgement);
            out[12] = std::byte { 0x50 };
            out[13] = std::byte { content.flags };
            // A reset advertises no window, every other segment the largest possible without window scaling.
            storeNumber(out, 14, static_cast<std::uint16_t>((content.flags & tcpRst) != 0 ? 0 : 0xffff));
        } else
            storeNumber(out, 4, static_cast<std::uint16_t>(out.size()));
        std::copy(content.payload.begin(), content.payload.end(),
            out.begin() + static_cast<std::ptrdiff_t>(headerBytes));
        const std::uint32_t pseudoHeaderSum = sumPseudoHeader(content.source.address,
            content.destination.address, static_cast<std::uint8_t>(content.protocol), out.size());
        std::uint16_t checksum = foldChecksum(addWords(pseudoHeaderSum, out));
        // In UDP, a checksum field of 0 means "no checksum" (RFC 768).
        if (!isTcp && checksum == 0)
            checksum = 0xffff;
        storeNumber(out, isTcp ? 16 : 6, checksum);
    }

} // namespace

tl::expected<parsed_segment, packet_error> parseSegment(std::span<const std::byte> packet)
{
    const tl::expected<ip_header, packet_error> header = parseIp(packet);
    if (!header)
        return tl::unexpected(header.error());
    const bool isTcp = header->protocol == static_cast<std::uint8_t>(core::transport::Tcp);
    if (!isTcp && header->protocol != static_cast<std::uint8_t>(core::transport::Udp))
        return tl::unexpected(packet_error::UnsupportedTransport);
    const std::span<const std::byte> bytes
        = packet.subspan(header->headerBytes, header->packetBytes - header->headerBytes);
    parsed_segment parsed;
    parsed.packetBytes = header->packetBytes;
    parsed.segment.protocol = isTcp ? core::transport::Tcp : core::transport::Udp;
    if (!(isTcp ? parseTcp(bytes, parsed.segment) : parseUdp(bytes, parsed.segment)))
        return tl::unexpected(packet_error::MalformedInner);
    parsed.segment.source = { header->source, loadNumber<std::uint16_t>(bytes, 0) };
    parsed.segment.destination = { header->destination, loadNumber<std::uint16_t>(bytes, 2) };
    return parsed;
}

std::size_t buildSegment(const segment& content, std::span<std::byte> out)
{
    const bool isV4 = content.source.address.isV4();
    const std::size_t ipBytes = isV4 ? ipv4HeaderBytes : ipv6HeaderBytes;
    const std::size_t transportBytes
        = (content.protocol == core::transport::Tcp ? tcpHeaderBytes : udpHeaderBytes)
        + content.payload.size();
    const std::size_t total = ipBytes + transportBytes;
    if (isV4 != content.destination.address.isV4() || total > out.size() || total > UINT16_MAX)
        return 0;
    writeIpHeader(content.source.address, content.destination.address,
        static_cast<std::uint8_t>(content.protocol), transportBytes, out);
    writeTransport(content, out.subspan(ipBytes, transportBytes));
    return total;
}

bool isTransportChecksumValid(std::span<const std::byte> packet)
{
    const tl::expected<ip_header, packet_error> header = parseIp(packet);
    if (!header || !parseSegment(packet))
        return false;
    std::span<const std::byte> bytes
        = packet.subspan(header->headerBytes, header->packetBytes - header->headerBytes);
    if (header->protocol == static_cast<std::uint8_t>(core::transport::Udp)) {
        if (header->source.isV4() && loadNumber<std::uint16_t>(bytes, 6) == 0)
            return true;
        bytes = bytes.first(loadNumber<std::uint16_t>(bytes, 4));
    }
    const std::uint32_t pseudoHeaderSum
        = sumPseudoHeader(header->source, header->destination, header->protocol, bytes.size());
    return foldChecksum(addWords(pseudoHeaderSum, bytes)) == 0;
}

} // namespace shallotcove::wire
