#include <shallotcove/core/flow.hpp>

#include <array>
#include <cstring>

#include <xxhash.h>

namespace shallotcove::core {

flow_hash hashFlow(const flow_key& key, std::uint64_t seed)
{
    std::array<std::uint8_t, 37> bytes {};
    std::memcpy(bytes.data(), key.caller.address.bytes.data(), 16);
    std::memcpy(bytes.data() + 16, key.service.address.bytes.data(), 16);
    bytes[32] = static_cast<std::uint8_t>(key.caller.port >> 8);
    bytes[33] = static_cast<std::uint8_t>(key.caller.port & 0xff);
    bytes[34] = static_cast<std::uint8_t>(key.service.port >> 8);
    bytes[35] = static_cast<std::uint8_t>(key.service.port & 0xff);
    bytes[36] = static_cast<std::uint8_t>(key.protocol);
    const XXH128_hash_t hash = XXH3_128bits_withSeed(bytes.data(), bytes.size(), seed);
    return { hash.high64, hash.low64 };
}

} // namespace shallotcove::core
