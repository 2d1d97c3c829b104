#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <shallotcove/core/backend_server.hpp>
#include <shallotcove/core/caller_class.hpp>
#include <shallotcove/core/data_centre_config.hpp>
#include <shallotcove/core/data_centre_state.hpp>
#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/operation_record.hpp>
#include <shallotcove/core/plan.hpp>
#include <shallotcove/core/server_state.hpp>

namespace shallotcove::core {

enum class service_state : std::uint8_t { Active, Removing };

/// Maximum number of operation records kept for a service or a data centre.
inline constexpr std::size_t maximumOperationRecords = 32;

/// Value of the key services/<name>.
struct service_config {
    service_id id;
    std::string name;
    socket_address address;
    transport protocol { transport::Tcp };
    service_state state { service_state::Active };
    /// Incremented by operators' changes only, not by the planner.
    std::uint64_t revision {};
    std::uint32_t nextServerId { 1 };
    std::vector<backend_server> servers;
    std::vector<caller_class> classes;
    /// Live epochs, oldest (the base) first.
    std::vector<epoch_plan> epochs;
    std::vector<operation_record> operations;

    friend bool operator==(const service_config&, const service_config&) = default;
};

} // namespace shallotcove::core
