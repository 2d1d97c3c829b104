#include <shallotcove/wire/redirect_codec.hpp>

#include <algorithm>
#include <cstring>

#include <shallotcove/wire/peer_key.hpp>

#include "byte_order.hpp"

namespace shallotcove::wire {

namespace {

    // The top two bits of the first byte are the variant of GUE, which uses 0 (and 1 for IP without a GUE
    // header). A value of 3 marks a redirect; the other bits are then the version of the redirect format.
    constexpr std::uint8_t redirectVariantBits = 0xc0;
    constexpr std::uint8_t redirectFirstByte = redirectVariantBits | 1;

    // Offsets of the fields. The byte at paddingOffset and those from reservedOffset to checksumOffset are
    // zero.
    constexpr std::size_t stageOffset = 1;
    constexpr std::size_t hopsOffset = 2;
    constexpr std::size_t paddingOffset = 3;
    constexpr std::size_t serviceOffset = 4;
    constexpr std::size_t flowOffset = 8;
    constexpr std::size_t serverOffset = 24;
    constexpr std::size_t entryHostOffset = 28;
    constexpr std::size_t fabricAddressOffset = 36;
    constexpr std::size_t fabricPortOffset = 52;
    constexpr std::size_t reservedOffset = 54;
    constexpr std::size_t checksumOffset = redirectPrefixBytes - peer_key::checksumBytes;

    bool isZero(std::span<const std::byte> bytes)
    {
        return std::all_of(
            bytes.begin(), bytes.end(), [](std::byte value) { return value == std::byte { 0 }; });
    }

} // namespace

bool isRedirect(std::span<const std::byte> datagram)
{
    return !datagram.empty()
        && (std::to_integer<std::uint8_t>(datagram[0]) & redirectVariantBits) == redirectVariantBits;
}

void writeRedirect(const core::redirect_header& header, std::span<const std::byte> inner, const peer_key& key,
    std::span<std::byte, redirectPrefixBytes> out)
{
    std::fill(out.begin(), out.end(), std::byte { 0 });
    out[0] = std::byte { redirectFirstByte };
    out[stageOffset] = static_cast<std::byte>(header.stage);
    out[hopsOffset] = std::byte { header.hops };
    storeNumber(out, serviceOffset, header.service.value);
    storeNumber(out, flowOffset, header.flow.high);
    storeNumber(out, flowOffset + 8, header.flow.low);
    storeNumber(out, serverOffset, header.server.value);
    storeNumber(out, entryHostOffset, header.entryHost.value);
    std::memcpy(out.data() + fabricAddressOffset, header.fabric.address.bytes.data(), 16);
    storeNumber(out, fabricPortOffset, header.fabric.port);
    const peer_key::checksum checksum = key.sign(out.first(checksumOffset), inner);
    std::copy(checksum.begin(), checksum.end(), out.begin() + checksumOffset);
}

tl::expected<redirected_packet, redirect_error> parseRedirect(
    std::span<const std::byte> datagram, const peer_key& key)
{
    if (datagram.size() <= redirectPrefixBytes)
        return tl::unexpected(redirect_error::TooShort);
    if (std::to_integer<std::uint8_t>(datagram[0]) != redirectFirstByte)
        return tl::unexpected(redirect_error::UnknownVersion);
    redirected_packet packet;
    packet.inner = datagram.subspan(redirectPrefixBytes);
    const peer_key::checksum expected = key.sign(datagram.first(checksumOffset), packet.inner);
    if (!peer_key::isEqual(expected, datagram.subspan<checksumOffset, peer_key::checksumBytes>()))
        return tl::unexpected(redirect_error::BadChecksum);
    const std::uint8_t stage = std::to_integer<std::uint8_t>(datagram[stageOffset]);
    if (stage > static_cast<std::uint8_t>(core::redirect_stage::Lookup)
        || datagram[paddingOffset] != std::byte { 0 }
        || !isZero(datagram.subspan(reservedOffset, checksumOffset - reservedOffset)))
        return tl::unexpected(redirect_error::Malformed);
    core::redirect_header& header = packet.header;
    header.stage = static_cast<core::redirect_stage>(stage);
    header.hops = std::to_integer<std::uint8_t>(datagram[hopsOffset]);
    header.service.value = loadNumber<std::uint32_t>(datagram, serviceOffset);
    header.flow = { loadNumber<std::uint64_t>(datagram, flowOffset),
        loadNumber<std::uint64_t>(datagram, flowOffset + 8) };
    header.server.value = loadNumber<std::uint32_t>(datagram, serverOffset);
    header.entryHost.value = loadNumber<std::uint64_t>(datagram, entryHostOffset);
    std::memcpy(header.fabric.address.bytes.data(), datagram.data() + fabricAddressOffset, 16);
    header.fabric.port = loadNumber<std::uint16_t>(datagram, fabricPortOffset);
    return packet;
}

} // namespace shallotcove::wire
