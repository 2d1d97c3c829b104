#include <shallotcove/steering/server_tag.hpp>

#include <xxhash.h>

namespace shallotcove::steering {

server_tag tagOf(std::string_view serverId)
{
    const std::uint64_t hash = XXH64(serverId.data(), serverId.size(), 0);
    const std::uint32_t folded = static_cast<std::uint32_t>(hash ^ (hash >> 32));
    return { folded == 0 ? 1 : folded };
}

} // namespace shallotcove::steering
