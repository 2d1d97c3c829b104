#include "test_messages.hpp"

#include <functional>

#include <criterion/criterion.h>

namespace core = shallotcove::core;
namespace wire = shallotcove::wire;

namespace {

using bytes = std::vector<std::byte>;
using mutation = std::function<void(bytes&)>;

constexpr std::size_t ipOffset = wire::gueHeaderBytes;

mutation setByte(std::size_t offset, int value)
{
    return [offset, value](bytes& datagram) { datagram.at(offset) = static_cast<std::byte>(value); };
}

/// Sets a byte of the IPv4 header and corrects the header checksum.
mutation setIpv4Byte(std::size_t offset, int value)
{
    return [offset, value](bytes& datagram) {
        datagram.at(ipOffset + offset) = static_cast<std::byte>(value);
        datagram[ipOffset + 10] = datagram[ipOffset + 11] = std::byte { 0 };
        std::uint32_t sum = 0;
        for (std::size_t index = 0; index < 20; index += 2)
            sum += std::to_integer<std::uint32_t>(datagram[ipOffset + index]) * 256
                + std::to_integer<std::uint32_t>(datagram[ipOffset + index + 1]);
        sum = ~((sum & 0xffff) + (sum >> 16));
        datagram[ipOffset + 10] = static_cast<std::byte>((sum >> 8) & 0xff);
        datagram[ipOffset + 11] = static_cast<std::byte>(sum & 0xff);
    };
}

mutation truncateTo(std::size_t size)
{
    return [size](bytes& datagram) { datagram.resize(size); };
}

struct bad_input {
    const char* name;
    bool isV6;
    bool isUdp;
    mutation mutate;
    wire::packet_error error;
};

} // namespace

// A malformed datagram must be rejected with the error that names its fault. Accepting one could make the
// parser read beyond the datagram, or take other bytes for the ports.
Test(caller_packet, rejects_malformed_datagrams)
{
    using enum wire::packet_error;
    const std::vector<bad_input> inputs {
        { "empty", false, false, truncateTo(0), TooShort },
        { "GUE header only", false, false, truncateTo(4), TooShort },
        { "GUE header truncated", false, false, truncateTo(3), TooShort },
        { "GUE variant 1", false, false, setByte(0, 0x45), UnknownGueVersion },
        { "GUE control message", false, false, setByte(0, 0x20), ControlMessage },
        { "GUE flags", false, false, setByte(2, 0x80), UnknownGueFlags },
        { "GUE header longer than the datagram", false, false, setByte(0, 0x1f), TooShort },
        { "inner is Ethernet", false, false, setByte(1, 143), UnknownInnerProtocol },
        { "inner version contradicts GUE", false, false, setByte(1, 41), MalformedInner },
        { "IPv4 header truncated", false, false, truncateTo(ipOffset + 19), TooShort },
        { "IPv4 header length below 20", false, false, setIpv4Byte(0, 0x44), MalformedInner },
        { "IPv4 length below the header", false, false, setIpv4Byte(3, 19), MalformedInner },
        { "IPv4 length beyond the datagram", false, false, setIpv4Byte(3, 200), TooShort },
        { "IPv4 header checksum", false, false, setByte(ipOffset + 10, 0), BadHeaderChecksum },
        { "IPv4 more fragments", false, false, setIpv4Byte(6, 0x20), Fragment },
        { "IPv4 fragment offset", false, false, setIpv4Byte(7, 1), Fragment },
        { "IPv4 with ICMP", false, false, setIpv4Byte(9, 1), UnsupportedTransport },
        { "IPv4 options that leave no TCP header", false, false, setIpv4Byte(3, 39), MalformedInner },
        { "TCP offset below 20", false, false, setByte(ipOffset + 20 + 12, 0x40), MalformedInner },
        { "TCP offset beyond the packet", false, false, setByte(ipOffset + 20 + 12, 0xf0), MalformedInner },
        { "TCP SYN and FIN", false, false, setByte(ipOffset + 20 + 13, 0x03), MalformedInner },
        { "TCP SYN and RST", false, false, setByte(ipOffset + 20 + 13, 0x06), MalformedInner },
        { "UDP length below 8", false, true, setByte(ipOffset + 20 + 5, 7), MalformedInner },
        { "UDP length beyond the packet", false, true, setByte(ipOffset + 20 + 4, 1), MalformedInner },
        { "UDP header truncated", false, true, setIpv4Byte(3, 27), MalformedInner },
        { "IPv6 header truncated", true, false, truncateTo(ipOffset + 39), TooShort },
        { "IPv6 length beyond the datagram", true, false, setByte(ipOffset + 4, 1), TooShort },
        { "IPv6 fragment", true, false, setByte(ipOffset + 6, 44), Fragment },
        { "IPv6 hop-by-hop options", true, false, setByte(ipOffset + 6, 0), ExtensionHeader },
        { "IPv6 routing header", true, false, setByte(ipOffset + 6, 43), ExtensionHeader },
        { "IPv6 destination options", true, false, setByte(ipOffset + 6, 60), ExtensionHeader },
        { "IPv6 with ICMPv6", true, false, setByte(ipOffset + 6, 58), UnsupportedTransport },
        { "IPv6 jumbo payload", true, false,
            [](bytes& datagram) { datagram[ipOffset + 4] = datagram[ipOffset + 5] = std::byte { 0 }; },
            MalformedInner },
        { "IPv6 with a v4-mapped address", true, false,
            [](bytes& datagram) {
                std::fill_n(datagram.begin() + ipOffset + 24, 10, std::byte { 0 });
                std::fill_n(datagram.begin() + ipOffset + 34, 2, std::byte { 0xff });
            },
            MalformedInner },
    };
    for (const bad_input& input : inputs) {
        bytes datagram = wire::test::gue(wire::test::packet(
            input.isUdp ? wire::test::udp(input.isV6) : wire::test::tcp(input.isV6, wire::tcpSyn)));
        input.mutate(datagram);
        // Without spare capacity in the vector, AddressSanitizer detects a read beyond the end.
        datagram.shrink_to_fit();
        const tl::expected<wire::caller_packet, wire::packet_error> parsed = wire::parseGue(datagram);
        cr_assert(!parsed, "%s was accepted", input.name);
        cr_assert(
            parsed.error() == input.error, "%s: error %d", input.name, static_cast<int>(parsed.error()));
    }
}

// The summary must contain the addresses, protocol, TCP flags and length that the packet was built with. With
// a wrong summary, the packet could be assigned to another flow, or the first packet of a flow could be taken
// for a later one.
Test(caller_packet, summary_matches_built_packet)
{
    const std::array<std::byte, 5> payload {};
    for (const bool isV6 : { false, true })
        for (const std::uint8_t flags : { wire::tcpSyn, std::uint8_t { wire::tcpSyn | wire::tcpAck },
                 wire::tcpFin, wire::tcpRst, wire::tcpAck }) {
            const wire::segment content = wire::test::tcp(isV6, flags, payload);
            bytes datagram = wire::test::gue(wire::test::packet(content));
            const std::size_t innerBytes = datagram.size() - wire::gueHeaderBytes;
            // Bytes after the IP packet are padding and must not be counted.
            datagram.resize(datagram.size() + 3);
            const tl::expected<wire::caller_packet, wire::packet_error> parsed = wire::parseGue(datagram);
            cr_assert(parsed.has_value());
            const core::packet_summary expected { { content.source, content.destination, content.protocol },
                flags == wire::tcpSyn, flags == wire::tcpFin, flags == wire::tcpRst,
                static_cast<std::uint32_t>(innerBytes) };
            cr_assert(parsed->summary == expected, "flags %d", flags);
            cr_assert(parsed->inner.size() == innerBytes);
            cr_assert(wire::isTransportChecksumValid(parsed->inner));
        }
}

// IPv4 options and private GUE data make the headers longer. A parser that assumes fixed lengths would read
// them as part of the IP or transport header.
Test(caller_packet, skips_ipv4_options_and_private_gue_data)
{
    bytes inner = wire::test::packet(wire::test::udp(false));
    inner.insert(inner.begin() + 20, 4, std::byte { 1 });
    bytes datagram = wire::test::gue(inner);
    datagram[0] = std::byte { 1 };
    datagram.insert(datagram.begin() + 4, 4, std::byte { 0xee });
    datagram[8] = std::byte { 0x46 };
    datagram[8 + 3] = static_cast<std::byte>(inner.size());
    // The header grew by two option words of 0x0101, by 1 in the header length (0x0100) and by 4 in the total
    // length, so the checksum decreases by 0x0202 + 0x0100 + 4.
    const std::uint32_t checksum = std::to_integer<std::uint32_t>(datagram[8 + 10]) * 256
        + std::to_integer<std::uint32_t>(datagram[8 + 11]);
    const std::uint32_t corrected = (checksum + 2 * 0xffff - 0x0202 - 0x0100 - 4) % 0xffff;
    datagram[8 + 10] = static_cast<std::byte>(corrected >> 8);
    datagram[8 + 11] = static_cast<std::byte>(corrected & 0xff);
    const tl::expected<wire::caller_packet, wire::packet_error> parsed = wire::parseGue(datagram);
    cr_assert(parsed.has_value(), "error %d", static_cast<int>(parsed.error()));
    cr_assert(parsed->summary.key.service == wire::test::address("198.51.100.7:443"));
}
