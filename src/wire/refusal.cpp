#include <algorithm>

#include <shallotcove/wire/caller_packet.hpp>
#include <shallotcove/wire/segment.hpp>

#include "byte_order.hpp"
#include "internet_checksum.hpp"
#include "ip_layout.hpp"

namespace shallotcove::wire {

namespace {

    constexpr std::size_t icmpHeaderBytes = 8;

    // Destination unreachable, communication administratively prohibited (RFC 1812, RFC 4443).
    constexpr std::byte icmpType { 3 };
    constexpr std::byte icmpCode { 13 };
    constexpr std::byte icmpv6Type { 1 };
    constexpr std::byte icmpv6Code { 1 };

    /// Whether the address identifies a single host, that is, may be the destination of an answer.
    /// Unspecified, multicast and broadcast addresses do not, nor do reserved IPv4 addresses from 240.0.0.0.
    bool isSingleHost(const core::ip_address& address)
    {
        if (address.isV4())
            return address.toV4() != 0 && address.toV4() < 0xe0000000U;
        return address.bytes[0] != 0xff && address != core::ip_address {};
    }

    /// Builds a reset that the caller's TCP accepts (RFC 9293, section 3.10.7.1).
    std::size_t buildReset(const segment& refused, std::span<std::byte> out)
    {
        segment reset;
        reset.source = refused.destination;
        reset.destination = refused.source;
        if ((refused.flags & tcpAck) != 0) {
            reset.flags = tcpRst;
            reset.sequence = refused.acknowledgement;
        } else {
            const std::uint32_t length = static_cast<std::uint32_t>(refused.payload.size())
                + ((refused.flags & tcpSyn) != 0 ? 1 : 0) + ((refused.flags & tcpFin) != 0 ? 1 : 0);
            reset.flags = tcpRst | tcpAck;
            reset.acknowledgement = refused.sequence + length;
        }
        return buildSegment(reset, out);
    }

    std::size_t buildIcmp(const segment& refused, std::span<const std::byte> inner, std::span<std::byte> out)
    {
        const bool isV4 = refused.source.address.isV4();
        const std::size_t ipBytes = isV4 ? ipv4HeaderBytes : ipv6HeaderBytes;
        const std::size_t quotedBytes = std::min(inner.size(), out.size() - ipBytes - icmpHeaderBytes);
        const std::uint8_t protocol = isV4 ? icmpProtocol : icmpv6Protocol;
        const core::ip_address& from = refused.destination.address;
        const core::ip_address& to = refused.source.address;
        writeIpHeader(from, to, protocol, icmpHeaderBytes + quotedBytes, out);
        const std::span<std::byte> icmp = out.subspan(ipBytes, icmpHeaderBytes + quotedBytes);
        std::fill_n(icmp.begin(), icmpHeaderBytes, std::byte { 0 });
        icmp[0] = isV4 ? icmpType : icmpv6Type;
        icmp[1] = isV4 ? icmpCode : icmpv6Code;
        std::copy_n(inner.begin(), quotedBytes, icmp.begin() + icmpHeaderBytes);
        // Unlike the ICMP checksum, that of ICMPv6 covers the pseudo-header (RFC 4443, section 2.3).
        const std::uint32_t initialSum = isV4 ? 0 : sumPseudoHeader(from, to, protocol, icmp.size());
        storeNumber(icmp, 2, foldChecksum(addWords(initialSum, icmp)));
        return ipBytes + icmp.size();
    }

} // namespace

std::size_t buildRefusal(const caller_packet& packet, std::span<std::byte, maximumRefusalBytes> out)
{
    const tl::expected<parsed_segment, packet_error> parsed = parseSegment(packet.inner);
    if (!parsed || !isSingleHost(parsed->segment.source.address))
        return 0;
    const segment& refused = parsed->segment;
    if ((refused.flags & tcpRst) != 0)
        return 0;
    writeGueHeader(out.first<gueHeaderBytes>(), refused.source.address.isV4() ? 4 : 6);
    const std::span<std::byte> rest = out.subspan(gueHeaderBytes);
    const std::size_t bytes = refused.protocol == core::transport::Tcp
        ? buildReset(refused, rest)
        : buildIcmp(refused, packet.inner.first(parsed->packetBytes), rest);
    return bytes == 0 ? 0 : gueHeaderBytes + bytes;
}

} // namespace shallotcove::wire
