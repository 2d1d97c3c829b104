#include <shallotcove/core/rendezvous.hpp>

#include <cmath>
#include <vector>

#include <criterion/criterion.h>

using namespace shallotcove::core;

namespace {

flow_hash numberedFlow(std::uint32_t number)
{
    flow_key key;
    key.caller = { ip_address::fromV4(number), 1000 };
    return hashFlow(key, 1);
}

} // namespace

// The shares of new flows follow the weights of the servers. The bound is five standard deviations.
Test(rendezvous, shares_follow_weights)
{
    const std::vector<weighted_server> servers { { { 1 }, 100 }, { { 2 }, 200 }, { { 9 }, 700 } };
    constexpr std::uint32_t flows = 20000;
    for (const weighted_server& server : servers) {
        std::uint32_t count {};
        for (std::uint32_t number = 0; number < flows; ++number)
            count += chooseServer(numberedFlow(number), servers) == server.server ? 1 : 0;
        const double share = server.weight / 1000.0;
        const double bound = 5 * std::sqrt(flows * share * (1 - share));
        cr_assert(std::abs(count - flows * share) < bound, "server %u got %u", server.server.value, count);
    }
}

// Removing a server must not move flows of the remaining servers, and its own flows must go to their next
// choice, in the order in which limited servers overflow.
Test(rendezvous, removal_moves_only_its_flows_to_the_next_choice)
{
    const std::vector<weighted_server> all { { { 1 }, 100 }, { { 2 }, 300 }, { { 3 }, 200 } };
    const std::vector<weighted_server> rest { all[0], all[2] };
    for (std::uint32_t number = 0; number < 1000; ++number) {
        const flow_hash flow = numberedFlow(number);
        const bool wasOnRemoved = chooseServer(flow, all) == backend_server_id { 2 };
        const std::size_t rank = wasOnRemoved ? 1 : 0;
        cr_assert(chooseServer(flow, rest) == chooseServer(flow, all, rank));
        cr_assert(!chooseServer(flow, all, 3));
    }
}

// The backup is the host that becomes owner when the owner dies; otherwise tracked flows would be lost with
// the owner.
Test(rendezvous, backup_becomes_owner)
{
    const std::vector<host_id> hosts { { 11 }, { 22 }, { 33 }, { 44 } };
    for (std::uint32_t number = 0; number < 1000; ++number) {
        const host_ranks ranks = rankHosts(numberedFlow(number), hosts);
        std::vector<host_id> rest = hosts;
        rest.erase(rest.begin() + std::ptrdiff_t(*ranks.owner));
        cr_assert(rest[*rankHosts(numberedFlow(number), rest).owner] == hosts[*ranks.backup]);
    }
    cr_assert(rankHosts({}, {}) == host_ranks {});
}
