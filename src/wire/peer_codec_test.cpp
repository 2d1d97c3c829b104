#include "test_messages.hpp"

#include <algorithm>

#include <criterion/criterion.h>
#include <msgpack.hpp>

#include <shallotcove/wire/redirect_codec.hpp>
#include <shallotcove/wire/replay_filter.hpp>

namespace core = shallotcove::core;
namespace wire = shallotcove::wire;

namespace {

constexpr wire::peer_envelope envelope { { UINT64_MAX }, UINT64_MAX, UINT64_MAX };

using decode_result = tl::expected<wire::received_message, wire::peer_codec_error>;

template <typename Write> decode_result signAndDecode(Write write)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    write(packer);
    const std::span<const std::byte> body = std::as_bytes(std::span { buffer.data(), buffer.size() });
    std::vector<std::byte> bytes(body.begin(), body.end());
    const wire::peer_key::checksum checksum = wire::test::key().sign(bytes);
    bytes.insert(bytes.end(), checksum.begin(), checksum.end());
    return wire::decodePeerMessage(bytes, wire::test::key());
}

} // namespace

// Every field of every message type must be decoded as it was encoded, neither lost nor swapped with another.
Test(peer_codec, every_type_round_trips)
{
    for (const core::peer_message& message : wire::test::messages()) {
        const tl::expected<std::vector<std::byte>, wire::peer_codec_error> bytes
            = wire::encodePeerMessage(envelope, message, wire::test::key());
        cr_assert(bytes.has_value(), "type %zu", message.index());
        const decode_result received = wire::decodePeerMessage(*bytes, wire::test::key());
        cr_assert(received.has_value(), "type %zu", message.index());
        cr_assert(*received == (wire::received_message { envelope, message }), "type %zu", message.index());
    }
}

// Hosts send up to 8 members and 48 flows per message without counting bytes, so the largest messages of that
// many entries must fit into maximumPeerMessageBytes. Longer messages must fail with TooLong.
Test(peer_codec, full_messages_fit)
{
    core::ping ping { UINT64_MAX, {} };
    ping.updates.members.assign(8, wire::test::member("[2001:db8::1]:65535", "[2001:db8::2]:65535"));
    for (core::member& member : ping.updates.members)
        member.id = { UINT64_MAX };
    // The sender and 8 others in an IPv4 fleet, each with as many blocked services as a member may list.
    core::ping ipv4Ping { UINT64_MAX, {} };
    ipv4Ping.updates.members.assign(9, wire::test::member("127.0.1.1:65535", "127.0.1.1:65534"));
    for (core::member& member : ipv4Ping.updates.members)
        member.blockedServices.assign(core::maximumBlockedServices, { UINT32_MAX });
    core::config_push push { std::string(200, 'k'), { UINT64_MAX }, { UINT64_MAX }, 0, UINT32_MAX, false, 0,
        1100, std::string(1100, 'v'), { UINT64_MAX }, { UINT64_MAX } };
    const core::tracked_flow flow { { UINT64_MAX, UINT64_MAX }, { UINT32_MAX }, { UINT32_MAX } };
    const core::track_batch batch { std::vector<core::tracked_flow>(core::maximumFlowsPerMessage, flow) };
    const core::server_load load { { UINT32_MAX }, { UINT32_MAX }, UINT32_MAX, UINT32_MAX, UINT32_MAX };
    core::load_report report { UINT64_MAX,
        std::vector<core::server_load>(core::maximumServersPerReport, load) };
    for (const core::peer_message& message : { core::peer_message { ping }, core::peer_message { ipv4Ping },
             core::peer_message { push }, core::peer_message { batch }, core::peer_message { report } }) {
        const tl::expected<std::vector<std::byte>, wire::peer_codec_error> bytes
            = wire::encodePeerMessage(envelope, message, wire::test::key());
        cr_assert(bytes && bytes->size() <= core::maximumPeerMessageBytes, "type %zu, %zu bytes",
            message.index(), bytes ? bytes->size() : 0);
        cr_assert(wire::decodePeerMessage(*bytes, wire::test::key()).has_value());
    }
    report.servers.push_back(load);
    cr_assert(!wire::encodePeerMessage(envelope, report, wire::test::key()).has_value());
    ping.updates.members.assign(30, ping.updates.members[0]);
    const tl::expected<std::vector<std::byte>, wire::peer_codec_error> tooLong
        = wire::encodePeerMessage(envelope, ping, wire::test::key());
    cr_assert(!tooLong && tooLong.error() == wire::peer_codec_error::TooLong);
}

// A host must reject messages from senders without its key, and those that are truncated or too long.
Test(peer_codec, rejects_damaged_messages)
{
    std::vector<std::byte> bytes
        = *wire::encodePeerMessage(envelope, wire::test::messages()[0], wire::test::key());
    cr_assert(
        wire::decodePeerMessage(bytes, wire::test::key('b')).error() == wire::peer_codec_error::BadChecksum);
    cr_assert(wire::decodePeerMessage(std::span { bytes }.first(16), wire::test::key()).error()
        == wire::peer_codec_error::TooShort);
    for (std::size_t size = 17; size < bytes.size(); ++size)
        cr_assert(wire::decodePeerMessage(std::span { bytes }.first(size), wire::test::key()).error()
            == wire::peer_codec_error::BadChecksum);
    bytes.resize(core::maximumPeerMessageBytes + 1);
    cr_assert(wire::decodePeerMessage(bytes, wire::test::key()).error() == wire::peer_codec_error::TooLong);
}

// A sender with the right key may run a faulty or newer build, so a valid checksum does not make a message
// well-formed. Malformed messages must be rejected with the error that names their fault.
Test(peer_codec, rejects_malformed_messages)
{
    using enum wire::peer_codec_error;
    using packer = msgpack::packer<msgpack::sbuffer>;
    using writer = void (*)(packer&);
    struct bad_input {
        const char* name;
        writer write;
        wire::peer_codec_error error;
    };
    const std::array<bad_input, 16> inputs { {
        { "not an array", [](packer& out) { out.pack(1); }, Malformed },
        { "empty array", [](packer& out) { out.pack_array(0); }, Malformed },
        { "truncated array", [](packer& out) { out.pack_array(6).pack(1).pack(4); }, Malformed },
        { "array of 4 billion", [](packer& out) { out.pack_array(UINT32_MAX).pack(1); }, Malformed },
        { "map", [](packer& out) { out.pack_map(1).pack(1).pack(1); }, Malformed },
        { "trailing bytes",
            [](packer& out) { out.pack_array(6).pack(1).pack(4).pack(1).pack(1).pack(1).pack(1).pack(1); },
            Malformed },
        { "version 2", [](packer& out) { out.pack_array(6).pack(2).pack(4).pack(1).pack(1).pack(1).pack(1); },
            UnknownVersion },
        { "type 9", [](packer& out) { out.pack_array(6).pack(1).pack(9).pack(1).pack(1).pack(1).pack(1); },
            UnknownType },
        { "type 0", [](packer& out) { out.pack_array(6).pack(1).pack(0).pack(1).pack(1).pack(1).pack(1); },
            UnknownType },
        { "negative index",
            [](packer& out) { out.pack_array(6).pack(1).pack(4).pack(1).pack(1).pack(1).pack(-1); },
            Malformed },
        { "one field too many",
            [](packer& out) { out.pack_array(7).pack(1).pack(4).pack(1).pack(1).pack(1).pack(1).pack(1); },
            Malformed },
        { "flow list that is no multiple of 3",
            [](packer& out) {
                out.pack_array(6).pack(1).pack(6).pack(1).pack(1).pack(1).pack_array(1).pack(1);
            },
            Malformed },
        { "load list that is no multiple of 5",
            [](packer& out) {
                out.pack_array(7).pack(1).pack(8).pack(1).pack(1).pack(1).pack(1).pack_array(1).pack(1);
            },
            Malformed },
        { "load count above 32 bits",
            [](packer& out) {
                out.pack_array(7).pack(1).pack(8).pack(1).pack(1).pack(1).pack(1);
                out.pack_array(5).pack(1).pack(1).pack(1).pack(1).pack(UINT64_MAX);
            },
            Malformed },
        { "load report of 49 servers",
            [](packer& out) {
                out.pack_array(7).pack(1).pack(8).pack(1).pack(1).pack(1).pack(1).pack_array(245);
                for (int element = 0; element < 245; ++element)
                    out.pack(1);
            },
            Malformed },
        { "chunk beyond the value",
            [](packer& out) {
                out.pack_array(14)
                    .pack(1)
                    .pack(5)
                    .pack(1)
                    .pack(1)
                    .pack(1)
                    .pack("key")
                    .pack(1)
                    .pack(1)
                    .pack(0)
                    .pack(1);
                out.pack(false).pack(8).pack(10).pack_bin(3).pack_bin_body("abc", 3);
            },
            Malformed },
    } };
    for (const bad_input& input : inputs) {
        const decode_result received = signAndDecode(input.write);
        cr_assert(!received, "%s was accepted", input.name);
        cr_assert(
            received.error() == input.error, "%s: error %d", input.name, static_cast<int>(received.error()));
    }
}

// Replayed messages must be dropped, but messages that arrive out of order within the window must be
// accepted.
Test(replay_filter, accepts_each_message_once)
{
    struct step {
        std::uint64_t sender;
        std::uint64_t incarnation;
        std::uint64_t sequence;
        bool isAccepted;
    };
    const std::array<step, 15> steps { {
        { 1, 5, 100, true },
        { 1, 5, 100, false },
        { 1, 5, 98, true },
        { 1, 5, 98, false },
        { 1, 5, 163, true },
        { 1, 5, 100, false },
        { 1, 5, 99, false },
        { 1, 5, 101, true },
        { 1, 4, 500, false },
        { 1, 6, 1, true },
        { 1, 6, 1, false },
        { 1, 5, 164, false },
        { 2, 1, 1, true },
        { 1, 6, UINT64_MAX, true },
        { 1, 6, 1, false },
    } };
    wire::replay_filter filter = wire::replay_filter::create(2);
    for (const step& next : steps)
        cr_assert(filter.accept({ { next.sender }, next.incarnation, next.sequence }) == next.isAccepted,
            "sender %lu sequence %lu", next.sender, next.sequence);
    // Sender 2, whose last message is oldest, is evicted. Sender 1 is still tracked, so its replay is
    // detected.
    cr_assert(filter.accept({ { 3 }, 1, 1 }));
    cr_assert(!filter.accept({ { 1 }, 6, UINT64_MAX }));
}

// A key of the wrong length must be rejected. If it were truncated or padded, a mistake in the settings would
// go unnoticed.
Test(peer_key, rejects_malformed_text)
{
    cr_assert(wire::peer_key::parse(std::string(63, 'a')).error() == wire::peer_key_error::WrongLength);
    cr_assert(wire::peer_key::parse(std::string(66, 'a')).error() == wire::peer_key_error::WrongLength);
    cr_assert(wire::peer_key::parse("").error() == wire::peer_key_error::WrongLength);
    cr_assert(wire::peer_key::parse(std::string(64, 'g')).error() == wire::peer_key_error::NotHexadecimal);
    cr_assert(wire::test::key('a').flowHashSeed() == wire::test::key('A').flowHashSeed());
    cr_assert(wire::test::key('a').flowHashSeed() != wire::test::key('b').flowHashSeed());
}

// Redirects must arrive with every field, and must be rejected if they are truncated, altered or from a
// sender without the key.
Test(redirect_codec, round_trips_and_rejects_damage)
{
    using enum wire::redirect_error;
    const std::vector<std::byte> inner = wire::test::packet(wire::test::tcp(false, wire::tcpSyn));
    std::vector<std::byte> datagram(wire::redirectPrefixBytes);
    wire::writeRedirect(wire::test::redirect(), inner, wire::test::key(),
        std::span { datagram }.first<wire::redirectPrefixBytes>());
    datagram.insert(datagram.end(), inner.begin(), inner.end());
    cr_assert(wire::isRedirect(datagram));
    cr_assert(!wire::isRedirect(wire::test::gue(inner)));
    const tl::expected<wire::redirected_packet, wire::redirect_error> parsed
        = wire::parseRedirect(datagram, wire::test::key());
    cr_assert(parsed && parsed->header == wire::test::redirect());
    cr_assert(std::equal(parsed->inner.begin(), parsed->inner.end(), inner.begin(), inner.end()));
    cr_assert(wire::parseRedirect(datagram, wire::test::key('b')).error() == BadChecksum);
    for (std::size_t size = 0; size < datagram.size(); ++size)
        cr_assert(wire::parseRedirect(std::span { datagram }.first(size), wire::test::key()).error()
            == (size <= wire::redirectPrefixBytes ? TooShort : BadChecksum));
    for (std::size_t offset = 0; offset < datagram.size(); ++offset) {
        datagram[offset] ^= std::byte { 0x10 };
        cr_assert(wire::parseRedirect(datagram, wire::test::key()).error()
            == (offset == 0 ? UnknownVersion : BadChecksum));
        datagram[offset] ^= std::byte { 0x10 };
    }
}
