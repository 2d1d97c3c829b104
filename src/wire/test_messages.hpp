#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include <shallotcove/wire/caller_packet.hpp>
#include <shallotcove/wire/peer_codec.hpp>
#include <shallotcove/wire/segment.hpp>

// Inputs shared by several tests.
namespace shallotcove::wire::test {

inline core::socket_address address(const char* text) { return *core::socket_address::parse(text); }

inline peer_key key(char digit = 'a') { return *peer_key::parse(std::string(64, digit)); }

inline std::vector<std::byte> packet(const segment& content)
{
    std::vector<std::byte> bytes(2048);
    bytes.resize(buildSegment(content, bytes));
    return bytes;
}

inline segment tcp(bool isV6, std::uint8_t flags, std::span<const std::byte> payload = {})
{
    return { address(isV6 ? "[2001:db8::1]:50000" : "192.0.2.1:50000"),
        address(isV6 ? "[2001:db8::2]:443" : "198.51.100.7:443"), core::transport::Tcp, 0x01020304,
        0x0a0b0c0d, flags, payload };
}

inline segment udp(bool isV6, std::span<const std::byte> payload = {})
{
    segment content = tcp(isV6, 0, payload);
    content.protocol = core::transport::Udp;
    return content;
}

inline std::vector<std::byte> gue(const std::vector<std::byte>& inner)
{
    std::array<std::byte, gueHeaderBytes> header {};
    writeGueHeader(header, std::to_integer<std::uint8_t>(inner[0]) >> 4);
    std::vector<std::byte> datagram(header.begin(), header.end());
    datagram.insert(datagram.end(), inner.begin(), inner.end());
    return datagram;
}

/// A member whose fields, apart from id, addresses, data centre and state, have the largest possible values.
inline core::member member(const char* peer, const char* packetAddress)
{
    core::member result { {}, address(peer), address(packetAddress), "torrelavega", UINT64_MAX,
        core::member_state::Suspect, { UINT64_MAX }, { UINT64_MAX }, { UINT64_MAX },
        std::vector<core::service_id>(core::maximumBlockedServices, { UINT32_MAX }), true };
    result.id = core::hostIdFor(result.peerAddress);
    return result;
}

inline core::gossip sampleGossip()
{
    core::gossip result;
    result.members = { member("127.0.1.1:7946", "127.0.1.1:6080"),
        member("[2001:db8::1]:7946", "[2001:db8::9]:6080"), member("127.0.1.1:7946", "[2001:db8::9]:6080") };
    result.members[1].id = { 77 };
    result.limits
        = { { { { 1 }, { 2 }, 3, { UINT64_MAX }, core::limit_kind::Cold, 10 }, { { 1 }, { UINT64_MAX } } },
              { { { 7 }, { 8 }, 9, { 4 }, core::limit_kind::Dead, 0 }, {} } };
    return result;
}

/// One message of each type, with every field set.
inline std::vector<core::peer_message> messages()
{
    const std::vector<core::tracked_flow> flows { { { UINT64_MAX, 1 }, { 2 }, { 3 } },
        { { 4, UINT64_MAX }, { UINT32_MAX }, { UINT32_MAX } } };
    return { core::ping { 5, sampleGossip() }, core::ping_request { 6, { 60 }, sampleGossip() },
        core::ack { 7, { 70 }, sampleGossip() }, core::config_pull { { 8 } },
        core::config_push { "services/rezervari", { 9 }, { 10 }, 1, 3, true, 1100, 2200,
            std::string(1100, '\0'), { 4 }, { 3 } },
        core::track_batch { flows }, core::hint { flows },
        core::load_report { UINT64_MAX,
            { { { 1 }, { 2 }, 3, 4, 5 },
                { { UINT32_MAX }, { UINT32_MAX }, UINT32_MAX, UINT32_MAX, UINT32_MAX } } } };
}

inline core::redirect_header redirect()
{
    return { { 1 }, { 0x1112131415161718, 0x2122232425262728 }, core::redirect_stage::Lookup, 3, { 4 },
        { 0x3132333435363738 }, address("[2001:db8::5]:6080") };
}

} // namespace shallotcove::wire::test
