#include <shallotcove/wire/neighbour_codec.hpp>

#include <cstdint>
#include <string>

#include <criterion/criterion.h>

namespace steering = shallotcove::steering;
namespace wire = shallotcove::wire;

namespace {

steering::neighbour_message sampleMessage()
{
    return { "buc-a", 500, UINT64_MAX, true, std::chrono::milliseconds { 1234 }, true,
        { { 0x0a010001, "buc-a", 38 }, { 0x0a020001, "buc-b", UINT32_MAX } }, true,
        { { { 7 }, 3 }, { { UINT32_MAX }, 1 } } };
}

} // namespace

// Every field must be decoded as it was encoded. Encoder and decoder that order the fields differently would
// swap values between hosts.
Test(neighbour_codec, every_field_round_trips)
{
    const std::optional<steering::neighbour_message> decoded
        = wire::decodeNeighbourMessage(wire::encodeNeighbourMessage(sampleMessage()));
    cr_assert(decoded && *decoded == sampleMessage());
}

// On large fleets, not all hosts and loads fit into one datagram. The encoder must omit some of them
// instead of exceeding the size limit.
Test(neighbour_codec, omits_entries_beyond_the_size_limit)
{
    steering::neighbour_message large = sampleMessage();
    for (std::uint32_t index = 0; index < 300; ++index) {
        large.hosts.push_back({ UINT32_MAX - index, std::string(8, 'x'), 500 });
        large.loads.push_back({ { UINT32_MAX - index }, 5 });
    }
    const std::vector<std::byte> bytes = wire::encodeNeighbourMessage(large);
    cr_assert(bytes.size() <= wire::maximumNeighbourMessageBytes, "%zu", bytes.size());
    cr_assert(wire::decodeNeighbourMessage(bytes).has_value());
}

// Datagrams may come from other senders. Truncated messages and messages of another version must be rejected,
// and altered bytes must not crash the decoder.
Test(neighbour_codec, rejects_truncated_and_altered_messages)
{
    const std::vector<std::byte> valid = wire::encodeNeighbourMessage(sampleMessage());
    for (std::size_t size = 0; size < valid.size(); ++size)
        cr_assert(!wire::decodeNeighbourMessage(std::span(valid).first(size)), "%zu", size);
    std::vector<std::byte> otherVersion = valid;
    otherVersion[1] = std::byte { 1 };
    cr_assert(!wire::decodeNeighbourMessage(otherVersion), "another version");
    for (std::size_t offset = 0; offset < valid.size(); ++offset) {
        for (const int value : { 0x00, 0x80, 0xc1, 0xdd, 0xff }) {
            std::vector<std::byte> altered = valid;
            altered[offset] = static_cast<std::byte>(value);
            static_cast<void>(wire::decodeNeighbourMessage(altered));
        }
    }
    cr_assert(!wire::decodeNeighbourMessage(std::vector<std::byte>(2000)));
}
