#pragma once

#include <compare>
#include <cstdint>

#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

enum class limit_kind : std::uint8_t { Clear, Cold, Overloaded, Dead };

/// Limit of a backend server that all hosts share. A later sequence replaces an earlier one; ties go to the
/// greater (proposer, kind).
struct server_limit {
    service_id service;
    backend_server_id server;
    std::uint64_t sequence {};
    host_id proposer;
    limit_kind kind { limit_kind::Clear };
    /// New flows a second, summed over all hosts.
    std::uint32_t newFlowsPerSecond {};

    friend auto operator<=>(const server_limit&, const server_limit&) = default;
};

} // namespace shallotcove::core
