#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace shallotcove::wire {

/// Reads an unsigned number in network byte order. Does not check the bounds of bytes.
template <typename Number> Number loadNumber(std::span<const std::byte> bytes, std::size_t offset)
{
    std::uint64_t number = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index)
        number = (number << 8) | std::to_integer<std::uint64_t>(bytes[offset + index]);
    return static_cast<Number>(number);
}

/// Writes an unsigned number in network byte order. Does not check the bounds of bytes.
template <typename Number> void storeNumber(std::span<std::byte> bytes, std::size_t offset, Number number)
{
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
        const std::size_t shift = 8 * (sizeof(Number) - 1 - index);
        bytes[offset + index] = static_cast<std::byte>((static_cast<std::uint64_t>(number) >> shift) & 0xff);
    }
}

} // namespace shallotcove::wire
