#pragma once

#include <cstdint>
#include <string>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/server_state.hpp>

namespace shallotcove::core {

struct backend_server {
    backend_server_id id;
    /// Name of its data centre.
    std::string dataCentre;
    /// Address at which it receives GUE packets.
    socket_address address;
    /// Share of load relative to the other servers, 1 to 10,000.
    std::uint32_t weight { 100 };
    server_state state { server_state::Active };
    /// New flows a second that it can take right after a cold start.
    std::uint32_t coldNewFlowsPerSecond { 10 };
    /// New flows a second that it can take when warm; 0 stands for unlimited.
    std::uint32_t newFlowsPerSecond {};

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace shallotcove::core
