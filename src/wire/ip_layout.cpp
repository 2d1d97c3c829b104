#include "ip_layout.hpp"

#include <algorithm>
#include <array>

#include "byte_order.hpp"
#include "internet_checksum.hpp"

namespace shallotcove::wire {

namespace {

    constexpr std::uint8_t timeToLive = 64;

    std::span<const std::byte> addressBytes(const core::ip_address& address)
    {
        const std::span<const std::byte> all = std::as_bytes(std::span { address.bytes });
        return address.isV4() ? all.subspan(12) : all;
    }

} // namespace

std::size_t writeIpHeader(const core::ip_address& source, const core::ip_address& destination,
    std::uint8_t protocol, std::size_t payloadBytes, std::span<std::byte> out)
{
    const std::span<const std::byte> from = addressBytes(source);
    const std::span<const std::byte> to = addressBytes(destination);
    if (source.isV4()) {
        std::fill_n(out.begin(), ipv4HeaderBytes, std::byte { 0 });
        out[0] = std::byte { 0x45 };
        storeNumber(out, 2, static_cast<std::uint16_t>(ipv4HeaderBytes + payloadBytes));
        // Sets the "don't fragment" flag, because the load balancer rejects fragments.
        out[6] = std::byte { 0x40 };
        out[8] = std::byte { timeToLive };
        out[9] = std::byte { protocol };
        std::copy(from.begin(), from.end(), out.begin() + 12);
        std::copy(to.begin(), to.end(), out.begin() + 16);
        storeNumber(out, 10, foldChecksum(addWords(0, out.first(ipv4HeaderBytes))));
        return ipv4HeaderBytes;
    }
    std::fill_n(out.begin(), ipv6HeaderBytes, std::byte { 0 });
    out[0] = std::byte { 0x60 };
    storeNumber(out, 4, static_cast<std::uint16_t>(payloadBytes));
    out[6] = std::byte { protocol };
    out[7] = std::byte { timeToLive };
    std::copy(from.begin(), from.end(), out.begin() + 8);
    std::copy(to.begin(), to.end(), out.begin() + 24);
    return ipv6HeaderBytes;
}

std::uint32_t sumPseudoHeader(const core::ip_address& source, const core::ip_address& destination,
    std::uint8_t protocol, std::size_t payloadBytes)
{
    std::uint32_t sum = addWords(0, addressBytes(source));
    sum = addWords(sum, addressBytes(destination));
    return sum + protocol + static_cast<std::uint32_t>(payloadBytes);
}

} // namespace shallotcove::wire
