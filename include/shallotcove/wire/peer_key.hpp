#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include <tl/expected.hpp>

namespace shallotcove::wire {

enum class peer_key_error : std::uint8_t { NotHexadecimal, WrongLength };

/// Secret shared by the hosts of a fleet. Peer messages and redirects carry checksums keyed with it (BLAKE2b,
/// from libsodium).
class peer_key {
public:
    static constexpr std::size_t keyBytes = 32;
    static constexpr std::size_t checksumBytes = 16;
    using checksum = std::array<std::byte, checksumBytes>;

    /// Parses 64 hexadecimal digits.
    static tl::expected<peer_key, peer_key_error> parse(std::string_view hexadecimal);

    checksum sign(std::span<const std::byte> message) const;
    /// Signs the concatenation of two parts.
    checksum sign(std::span<const std::byte> first, std::span<const std::byte> second) const;
    /// Compares in constant time.
    static bool isEqual(const checksum&, std::span<const std::byte, checksumBytes>);
    /// Seed for flow hashes. It is derived from the secret key, so that callers cannot choose flows whose
    /// hashes collide.
    std::uint64_t flowHashSeed() const;

private:
    explicit peer_key(std::array<std::byte, keyBytes>);
    std::array<std::byte, keyBytes> m_key;
};

} // namespace shallotcove::wire
