#include "test_messages.hpp"

#include <criterion/criterion.h>

namespace core = shallotcove::core;
namespace wire = shallotcove::wire;

namespace {

std::uint32_t sumWords(std::span<const std::byte> bytes)
{
    std::uint32_t sum = 0;
    for (std::size_t index = 0; index < bytes.size(); ++index)
        sum += std::to_integer<std::uint32_t>(bytes[index]) << (index % 2 == 0 ? 8 : 0);
    return sum;
}

bool isChecksumValid(std::uint32_t sum) { return sum != 0 && sum % 0xffff == 0; }

struct refusal {
    std::array<std::byte, wire::maximumRefusalBytes> bytes {};
    std::size_t size {};
};

refusal refuse(const wire::segment& content)
{
    const std::vector<std::byte> datagram = wire::test::gue(wire::test::packet(content));
    refusal result;
    result.size = wire::buildRefusal(*wire::parseGue(datagram), result.bytes);
    return result;
}

} // namespace

// A caller's TCP ignores a reset with a wrong sequence number, flags or checksum (RFC 9293,
// section 3.10.7.1), so the caller would not learn of the refusal.
Test(refusal, tcp_reset_fits_the_refused_segment)
{
    struct expectation {
        std::uint8_t flags;
        std::size_t payloadBytes;
        std::uint8_t resetFlags;
        std::uint32_t sequence;
        std::uint32_t acknowledgement;
    };
    constexpr std::uint32_t sequence = 0x01020304;
    constexpr std::uint32_t acknowledgement = 0x0a0b0c0d;
    constexpr std::uint8_t resetAndAck = wire::tcpRst | wire::tcpAck;
    const std::array<expectation, 5> cases { {
        { wire::tcpSyn, 0, resetAndAck, 0, sequence + 1 },
        { wire::tcpSyn, 10, resetAndAck, 0, sequence + 11 },
        { 0, 7, resetAndAck, 0, sequence + 7 },
        { wire::tcpFin, 7, resetAndAck, 0, sequence + 8 },
        { wire::tcpAck, 7, wire::tcpRst, acknowledgement, 0 },
    } };
    for (const bool isV6 : { false, true })
        for (const expectation& expected : cases) {
            const std::vector<std::byte> payload(expected.payloadBytes);
            const wire::segment refused = wire::test::tcp(isV6, expected.flags, payload);
            const refusal built = refuse(refused);
            const std::span<const std::byte> inner
                = std::span { built.bytes }.first(built.size).subspan(wire::gueHeaderBytes);
            const tl::expected<wire::parsed_segment, wire::packet_error> reset = wire::parseSegment(inner);
            cr_assert(reset.has_value());
            cr_assert(wire::parseGue(std::span { built.bytes }.first(built.size)).has_value());
            cr_assert(wire::isTransportChecksumValid(inner));
            cr_assert(reset->segment.source == refused.destination);
            cr_assert(reset->segment.destination == refused.source);
            cr_assert(reset->segment.flags == expected.resetFlags);
            cr_assert(reset->segment.sequence == expected.sequence);
            cr_assert(reset->segment.acknowledgement == expected.acknowledgement);
        }
}

// Callers drop ICMP errors with a wrong type, checksum or quoted packet.
Test(refusal, datagram_gets_administratively_prohibited)
{
    const std::vector<std::byte> payload(600, std::byte { 0xab });
    for (const std::size_t payloadBytes : { std::size_t { 0 }, std::size_t { 5 }, payload.size() })
        for (const bool isV6 : { false, true }) {
            const wire::segment refused = wire::test::udp(isV6, std::span { payload }.first(payloadBytes));
            const std::vector<std::byte> original = wire::test::packet(refused);
            const refusal built = refuse(refused);
            const std::span<const std::byte> inner
                = std::span { built.bytes }.first(built.size).subspan(wire::gueHeaderBytes);
            const std::size_t ipBytes = isV6 ? 40 : 20;
            const std::span<const std::byte> icmp = inner.subspan(ipBytes);
            cr_assert(inner[isV6 ? 6 : 9] == (isV6 ? std::byte { 58 } : std::byte { 1 }));
            cr_assert(icmp[0] == (isV6 ? std::byte { 1 } : std::byte { 3 }));
            cr_assert(icmp[1] == (isV6 ? std::byte { 1 } : std::byte { 13 }));
            const std::uint32_t pseudo
                = isV6 ? sumWords(inner.subspan(8, 32)) + 58 + static_cast<std::uint32_t>(icmp.size()) : 0;
            cr_assert(isChecksumValid(pseudo + sumWords(icmp)));
            cr_assert(isV6 || isChecksumValid(sumWords(inner.first(20))));
            const std::span<const std::byte> quoted = icmp.subspan(8);
            cr_assert(quoted.size() >= std::min(original.size(), ipBytes + 8));
            cr_assert(std::equal(quoted.begin(), quoted.end(), original.begin()));
        }
}

// Answering a reset with a reset could loop forever. Answers to unspecified, multicast or broadcast addresses
// would not go to a single host.
Test(refusal, resets_and_non_host_sources_get_no_answer)
{
    cr_assert(refuse(wire::test::tcp(false, wire::tcpRst)).size == 0);
    cr_assert(refuse(wire::test::tcp(true, wire::tcpRst | wire::tcpAck)).size == 0);
    for (const char* const source : { "0.0.0.0:1", "224.0.0.1:1", "255.255.255.255:1" }) {
        wire::segment content = wire::test::udp(false);
        content.source = wire::test::address(source);
        cr_assert(refuse(content).size == 0, "%s", source);
    }
    for (const char* const source : { "[::]:1", "[ff02::1]:1" }) {
        wire::segment content = wire::test::udp(true);
        content.source = wire::test::address(source);
        cr_assert(refuse(content).size == 0, "%s", source);
    }
}
