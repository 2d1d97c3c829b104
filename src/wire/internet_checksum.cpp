#include "internet_checksum.hpp"

#include "byte_order.hpp"

namespace shallotcove::wire {

std::uint32_t addWords(std::uint32_t sum, std::span<const std::byte> bytes)
{
    std::size_t offset = 0;
    for (; offset + 2 <= bytes.size(); offset += 2)
        sum += loadNumber<std::uint16_t>(bytes, offset);
    if (offset < bytes.size())
        sum += std::to_integer<std::uint32_t>(bytes[offset]) << 8;
    return sum;
}

std::uint16_t foldChecksum(std::uint32_t sum)
{
    while (sum > 0xffff)
        sum = (sum & 0xffff) + (sum >> 16);
    return static_cast<std::uint16_t>(~sum & 0xffff);
}

} // namespace shallotcove::wire
