#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace shallotcove::wire {

/// Adds the 16-bit words of bytes to the unfolded sum of an Internet checksum (RFC 1071) and returns the new
/// sum. Only the last part of the checksummed data may have an odd number of bytes.
std::uint32_t addWords(std::uint32_t sum, std::span<const std::byte> bytes);

/// Folds the sum into the value of the checksum field. The result is 0 if the summed bytes include a valid
/// checksum.
std::uint16_t foldChecksum(std::uint32_t sum);

} // namespace shallotcove::wire
