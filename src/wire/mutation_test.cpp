#include "test_messages.hpp"

#include <algorithm>

#include <criterion/criterion.h>
#include <pcg_random.hpp>

#include <shallotcove/wire/redirect_codec.hpp>

namespace core = shallotcove::core;
namespace wire = shallotcove::wire;

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int inputCount = 100'000;
#else
constexpr int inputCount = 1'000'000;
#endif

constexpr std::uint64_t seed = 20261204;

using bytes = std::vector<std::byte>;

/// Applies zero to four mutations, each of which flips a bit, overwrites a byte, truncates the input, repeats
/// its tail or inserts a byte.
void mutate(bytes& input, pcg32& random)
{
    for (std::uint32_t remaining = random(5); remaining > 0 && !input.empty(); --remaining) {
        // Headers are at the front, so half of the mutations are applied to the first 48 bytes.
        const std::uint32_t size = static_cast<std::uint32_t>(input.size());
        const std::size_t position = random(random(2) == 0 ? std::min(size, 48U) : size);
        const std::ptrdiff_t offset = static_cast<std::ptrdiff_t>(position);
        switch (random(5)) {
        case 0:
            input[position] ^= static_cast<std::byte>(1U << random(8));
            break;
        case 1:
            input[position] = static_cast<std::byte>(random(256));
            break;
        case 2:
            input.resize(position);
            break;
        case 3:
            input.insert(input.end(), input.begin() + offset, input.end());
            break;
        default:
            input.insert(input.begin() + offset, random(4) == 0 ? std::byte { 0xff } : std::byte { 0xdd });
        }
    }
    input.resize(std::min<std::size_t>(input.size(), 2000));
    input.shrink_to_fit();
}

bool hasValidHeaderChecksum(std::span<const std::byte> inner)
{
    if (std::to_integer<int>(inner[0]) >> 4 == 6)
        return true;
    std::uint32_t sum = 0;
    for (std::size_t index = 0; index < 4 * (std::to_integer<std::size_t>(inner[0]) & 15); ++index)
        sum += std::to_integer<std::uint32_t>(inner[index]) << (index % 2 == 0 ? 8 : 0);
    return sum % 0xffff == 0;
}

std::vector<bytes> packets()
{
    const std::array<std::byte, 64> payload {};
    std::vector<bytes> result;
    for (const bool isV6 : { false, true }) {
        result.push_back(wire::test::packet(wire::test::tcp(isV6, wire::tcpSyn)));
        result.push_back(wire::test::packet(wire::test::tcp(isV6, wire::tcpAck, payload)));
        result.push_back(wire::test::packet(wire::test::udp(isV6, payload)));
    }
    return result;
}

} // namespace

// Mutated caller packets must not crash the parser or make it read out of bounds. What it accepts must have a
// valid IPv4 header checksum, and a TCP reset built for it a valid checksum.
Test(mutation, caller_packets)
{
    pcg32 random(seed);
    const std::vector<bytes> corpus = packets();
    int accepted = 0;
    for (int inputIndex = 0; inputIndex < inputCount; ++inputIndex) {
        bytes datagram = wire::test::gue(corpus[random(static_cast<std::uint32_t>(corpus.size()))]);
        mutate(datagram, random);
        const tl::expected<wire::caller_packet, wire::packet_error> parsed = wire::parseGue(datagram);
        if (!parsed)
            continue;
        ++accepted;
        cr_assert(hasValidHeaderChecksum(parsed->inner), "input %d", inputIndex);
        cr_assert(parsed->inner.data() + parsed->inner.size() <= datagram.data() + datagram.size());
        std::array<std::byte, wire::maximumRefusalBytes> refusal {};
        const std::size_t size = wire::buildRefusal(*parsed, refusal);
        cr_assert(size <= refusal.size());
        const std::span<const std::byte> built = std::span { refusal }.first(size);
        if (size > 0 && parsed->summary.key.protocol == core::transport::Tcp)
            cr_assert(
                wire::isTransportChecksumValid(built.subspan(wire::gueHeaderBytes)), "input %d", inputIndex);
    }
    cr_assert(accepted > inputCount / 10 && accepted < inputCount, "accepted %d", accepted);
}

// The keyed checksum must make the parser reject every redirect that differs from what a host with the key
// wrote.
Test(mutation, redirects)
{
    pcg32 random(seed);
    const wire::peer_key key = wire::test::key();
    bytes original(wire::redirectPrefixBytes);
    const bytes inner = packets()[1];
    wire::writeRedirect(
        wire::test::redirect(), inner, key, std::span { original }.first<wire::redirectPrefixBytes>());
    original.insert(original.end(), inner.begin(), inner.end());
    int accepted = 0;
    for (int inputIndex = 0; inputIndex < inputCount; ++inputIndex) {
        bytes datagram = original;
        mutate(datagram, random);
        const bool isAccepted = wire::parseRedirect(datagram, key).has_value();
        cr_assert(isAccepted == (datagram == original), "input %d", inputIndex);
        accepted += isAccepted ? 1 : 0;
    }
    cr_assert(accepted > 0);
}

// The keyed checksum must make the decoder reject every peer message that differs from what was encoded.
Test(mutation, peer_messages)
{
    pcg32 random(seed);
    const wire::peer_key key = wire::test::key();
    std::vector<bytes> corpus;
    for (const core::peer_message& message : wire::test::messages())
        corpus.push_back(*wire::encodePeerMessage({ { 1 }, 2, 3 }, message, key));
    for (int inputIndex = 0; inputIndex < inputCount; ++inputIndex) {
        const bytes& original = corpus[random(static_cast<std::uint32_t>(corpus.size()))];
        bytes message = original;
        mutate(message, random);
        cr_assert(wire::decodePeerMessage(message, key).has_value() == (message == original), "input %d",
            inputIndex);
    }
}

// A faulty build may send malformed messages with a valid checksum, so messages are mutated here before they
// are signed. They must not crash the decoder, and what it accepts must not change when it is encoded and
// decoded again.
Test(mutation, signed_malformed_peer_messages)
{
    pcg32 random(seed);
    const wire::peer_key key = wire::test::key();
    std::vector<bytes> corpus;
    for (const core::peer_message& message : wire::test::messages()) {
        corpus.push_back(*wire::encodePeerMessage({ { 1 }, 2, 3 }, message, key));
        corpus.back().resize(corpus.back().size() - wire::peer_key::checksumBytes);
    }
    int accepted = 0;
    for (int inputIndex = 0; inputIndex < inputCount; ++inputIndex) {
        bytes message = corpus[random(static_cast<std::uint32_t>(corpus.size()))];
        mutate(message, random);
        const wire::peer_key::checksum checksum = key.sign(message);
        message.insert(message.end(), checksum.begin(), checksum.end());
        const tl::expected<wire::received_message, wire::peer_codec_error> received
            = wire::decodePeerMessage(message, key);
        if (!received)
            continue;
        ++accepted;
        const tl::expected<bytes, wire::peer_codec_error> encodedAgain
            = wire::encodePeerMessage(received->envelope, received->message, key);
        cr_assert(encodedAgain.has_value(), "input %d", inputIndex);
        cr_assert(*wire::decodePeerMessage(*encodedAgain, key) == *received, "input %d", inputIndex);
    }
    cr_assert(accepted > inputCount / 20 && accepted < inputCount, "accepted %d", accepted);
}
