#pragma once

#include <cstdint>
#include <vector>

#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// Phase of an epoch. A prepared epoch places no flows: it becomes active only once every host that may be
/// serving has applied it, so that no host places flows by an epoch that another host lacks.
enum class epoch_phase : std::uint8_t { Prepared, Active };

/// Weight of a backend server in a plan, above 0; a server with weight 0 is left out of the plan.
struct weighted_server {
    backend_server_id server;
    std::uint32_t weight {};

    friend auto operator<=>(const weighted_server&, const weighted_server&) = default;
};

/// Backend servers and weights by which one epoch of a service places flows.
struct epoch_plan {
    epoch_number number;
    epoch_phase phase { epoch_phase::Prepared };
    /// Sorted by backend server id.
    std::vector<weighted_server> servers;

    friend bool operator==(const epoch_plan&, const epoch_plan&) = default;
};

/// Maximum number of epochs of one service that may be live (not retired) at once.
inline constexpr std::size_t maximumLiveEpochs = 8;

} // namespace shallotcove::core
