#include <shallotcove/core/member.hpp>

#include <array>
#include <cstring>

#include <xxhash.h>

namespace shallotcove::core {

host_id hostIdFor(const socket_address& peerAddress)
{
    std::array<std::uint8_t, 18> bytes {};
    std::memcpy(bytes.data(), peerAddress.address.bytes.data(), 16);
    bytes[16] = static_cast<std::uint8_t>(peerAddress.port >> 8);
    bytes[17] = static_cast<std::uint8_t>(peerAddress.port & 0xff);
    return { XXH3_64bits(bytes.data(), bytes.size()) };
}

} // namespace shallotcove::core
