#include "gue_packet.hpp"

#include <cstring>

#include <shallotcove/wire/caller_packet.hpp>

#include "wire/byte_order.hpp"
#include "wire/ip_layout.hpp"

namespace shallotcove::testbench {

std::vector<std::byte> encapsulate(const wire::segment& content)
{
    std::vector<std::byte> datagram(
        wire::gueHeaderBytes + wire::ipv6HeaderBytes + wire::tcpHeaderBytes + content.payload.size());
    const std::span<std::byte> bytes { datagram };
    wire::writeGueHeader(bytes.first<wire::gueHeaderBytes>(), content.source.address.isV4() ? 4 : 6);
    datagram.resize(wire::gueHeaderBytes + wire::buildSegment(content, bytes.subspan(wire::gueHeaderBytes)));
    return datagram;
}

std::optional<inner_addresses> readInnerAddresses(std::span<const std::byte> datagram)
{
    if (datagram.size() <= wire::gueHeaderBytes)
        return std::nullopt;
    const std::span<const std::byte> inner = datagram.subspan(wire::gueHeaderBytes);
    const int version = std::to_integer<int>(inner[0]) >> 4;
    inner_addresses addresses;
    if (version == 4 && inner.size() >= wire::ipv4HeaderBytes) {
        addresses.source = core::ip_address::fromV4(wire::loadNumber<std::uint32_t>(inner, 12));
        addresses.destination = core::ip_address::fromV4(wire::loadNumber<std::uint32_t>(inner, 16));
        return addresses;
    }
    if (version != 6 || inner.size() < wire::ipv6HeaderBytes)
        return std::nullopt;
    std::memcpy(addresses.source.bytes.data(), inner.data() + 8, 16);
    std::memcpy(addresses.destination.bytes.data(), inner.data() + 24, 16);
    return addresses;
}

} // namespace shallotcove::testbench
