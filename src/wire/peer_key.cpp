#include <shallotcove/wire/peer_key.hpp>

#include <cstring>

#include <sodium.h>

namespace shallotcove::wire {

namespace {

    static_assert(peer_key::checksumBytes >= crypto_generichash_BYTES_MIN);
    static_assert(peer_key::keyBytes <= crypto_generichash_KEYBYTES_MAX);

    const unsigned char* asUnsigned(const std::byte* bytes)
    {
        return reinterpret_cast<const unsigned char*>(bytes);
    }

    unsigned char* asUnsigned(std::byte* bytes) { return reinterpret_cast<unsigned char*>(bytes); }

    void initializeSodium()
    {
        // Selects the fastest implementation of each primitive. Hashing works without it, so a failure (no
        // source of randomness) can be ignored.
        static const int result = sodium_init();
        static_cast<void>(result);
    }

} // namespace

peer_key::peer_key(std::array<std::byte, keyBytes> key)
    : m_key(key)
{
}

tl::expected<peer_key, peer_key_error> peer_key::parse(std::string_view hexadecimal)
{
    initializeSodium();
    constexpr std::string_view digits = "0123456789abcdefABCDEF";
    if (hexadecimal.find_first_not_of(digits) != std::string_view::npos)
        return tl::unexpected(peer_key_error::NotHexadecimal);
    if (hexadecimal.size() != 2 * keyBytes)
        return tl::unexpected(peer_key_error::WrongLength);
    std::array<std::byte, keyBytes> key {};
    std::size_t written = 0;
    const int result = sodium_hex2bin(asUnsigned(key.data()), key.size(), hexadecimal.data(),
        hexadecimal.size(), nullptr, &written, nullptr);
    if (result != 0 || written != keyBytes)
        return tl::unexpected(peer_key_error::NotHexadecimal);
    return peer_key(key);
}

peer_key::checksum peer_key::sign(std::span<const std::byte> message) const { return sign(message, {}); }

peer_key::checksum peer_key::sign(std::span<const std::byte> first, std::span<const std::byte> second) const
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, asUnsigned(m_key.data()), m_key.size(), checksumBytes);
    crypto_generichash_update(&state, asUnsigned(first.data()), first.size());
    if (!second.empty())
        crypto_generichash_update(&state, asUnsigned(second.data()), second.size());
    checksum result {};
    crypto_generichash_final(&state, asUnsigned(result.data()), result.size());
    return result;
}

bool peer_key::isEqual(const checksum& left, std::span<const std::byte, checksumBytes> right)
{
    return sodium_memcmp(left.data(), right.data(), checksumBytes) == 0;
}

std::uint64_t peer_key::flowHashSeed() const
{
    // BLAKE2b hashes the length of its result as a parameter. This result is longer than a message checksum,
    // so no checksum reveals the seed.
    constexpr std::string_view purpose = "shallotcove flow hash seed";
    std::array<unsigned char, 32> result {};
    crypto_generichash(result.data(), result.size(), reinterpret_cast<const unsigned char*>(purpose.data()),
        purpose.size(), asUnsigned(m_key.data()), m_key.size());
    std::uint64_t seed = 0;
    for (std::size_t index = 0; index < sizeof seed; ++index)
        seed = (seed << 8) | result[index];
    return seed;
}

} // namespace shallotcove::wire
