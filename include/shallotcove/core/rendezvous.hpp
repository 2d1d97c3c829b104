#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/plan.hpp>

namespace shallotcove::core {

/// Exponentially distributed cost of a flow at a backend server, -ln(u). Divided by the server's weight it is
/// the score of weighted rendezvous hashing; the smallest score wins.
double rendezvousCost(const flow_hash&, backend_server_id);

/// The backend server at a rank in the rendezvous order of a flow over a plan; rank 0 is the choice. Nothing
/// if the plan has too few servers.
std::optional<backend_server_id> chooseServer(
    const flow_hash&, std::span<const weighted_server>, std::size_t rank = 0);

/// Positions of a flow's owner and backup in a list of hosts.
struct host_ranks {
    std::optional<std::size_t> owner;
    std::optional<std::size_t> backup;

    friend bool operator==(const host_ranks&, const host_ranks&) = default;
};

host_ranks rankHosts(const flow_hash&, std::span<const host_id>);

} // namespace shallotcove::core
