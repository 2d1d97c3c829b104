#include "request_payload.hpp"

namespace shallotcove::soak {

namespace {

    constexpr std::size_t numberBytes = 8;
    constexpr std::size_t payloadBytes = numberBytes + 1;

} // namespace

std::vector<std::byte> encodePayload(const request_payload& payload)
{
    std::vector<std::byte> bytes(payloadBytes);
    for (std::size_t index = 0; index < numberBytes; ++index)
        bytes[index] = static_cast<std::byte>((payload.request >> (8 * index)) & 0xff);
    bytes[numberBytes] = static_cast<std::byte>(payload.isIdempotent ? 1 : 0);
    return bytes;
}

std::optional<request_payload> decodePayload(std::span<const std::byte> bytes)
{
    if (bytes.size() != payloadBytes)
        return std::nullopt;
    request_payload payload;
    for (std::size_t index = numberBytes; index-- > 0;)
        payload.request = (payload.request << 8) | std::to_integer<std::uint64_t>(bytes[index]);
    payload.isIdempotent = bytes[numberBytes] != std::byte { 0 };
    return payload;
}

} // namespace shallotcove::soak
