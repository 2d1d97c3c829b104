#pragma once

#include <cstdint>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// What the flows show about one backend server since the last report.
struct server_evidence {
    service_id service;
    backend_server_id server;
    /// Flows placed, whether as entry host or as owner.
    std::uint32_t newFlows {};
    /// First packets of flows that this host already knew.
    std::uint32_t repeatedFirst {};
    /// Flows that sent a packet after the first within 1 s.
    std::uint32_t establishedFlows {};
    /// Flows that sent no packet after the first within 1 s.
    std::uint32_t silentFlows {};
    /// Open flows in the local table.
    std::uint32_t openFlows {};
    /// Flows in the local table that had a packet here in the last 10 s, as of the last complete scan. Unlike
    /// openFlows it falls soon after flows end: the last packet of a flow reaches one host only.
    std::uint32_t activeFlows {};

    friend bool operator==(const server_evidence&, const server_evidence&) = default;
};

} // namespace shallotcove::core
