#include <shallotcove/core/limit_coordinator.hpp>

#include <array>

#include <xxhash.h>

namespace shallotcove::core {

host_id limitCoordinatorOf(const std::vector<member>& hosts, service_id service, backend_server_id server)
{
    host_id coordinator;
    std::uint64_t highest {};
    for (const member& host : hosts) {
        const std::array<std::uint64_t, 2> input { host.id.value,
            std::uint64_t { service.value } << 32 | server.value };
        const std::uint64_t score = XXH3_64bits(input.data(), sizeof input);
        if (score < highest && coordinator.value != 0)
            continue;
        highest = score;
        coordinator = host.id;
    }
    return coordinator;
}

} // namespace shallotcove::core
