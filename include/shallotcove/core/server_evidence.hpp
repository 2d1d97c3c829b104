#pragma once

#include <cstdint>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// Counts of one backend server's flows on this host since the last report, unless stated otherwise.
struct server_evidence {
    service_id service;
    backend_server_id server;
    /// Flows that this host placed on the server, as entry host or as owner.
    std::uint32_t newFlows {};
    /// First packets that arrived again for a flow already in the local table.
    std::uint32_t retransmittedFirstPackets {};
    /// Flows that sent a further packet within 1 s of the first.
    std::uint32_t establishedFlows {};
    /// Flows that sent no further packet within 1 s of the first.
    std::uint32_t silentFlows {};
    /// Open flows in the local table.
    std::uint32_t openFlows {};
    /// Flows in the local table that had a packet on this host in the 10 s before the last complete scan.
    /// Unlike openFlows, this falls soon after flows end: the last packet of a flow reaches only one host.
    std::uint32_t activeFlows {};

    friend bool operator==(const server_evidence&, const server_evidence&) = default;
};

} // namespace shallotcove::core
