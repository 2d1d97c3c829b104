#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/member.hpp>
#include <shallotcove/core/server_limit.hpp>
#include <shallotcove/core/service_config.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// Stage of a limit on this host.
enum class limit_stage : std::uint8_t {
    /// Not yet acknowledged by every alive host: each owner admits its share of the new flows and drops the
    /// first packets beyond it. These flows are not placed elsewhere, because a host that does not know the
    /// limit yet would send their later packets to this server.
    Pending,
    /// Acknowledged by every alive host: each owner admits its share of the new flows and offers those beyond
    /// it to the next servers in rendezvous order.
    Effective,
    /// The limit was cleared, but owners may still hold flows that were placed elsewhere because of the
    /// limit.
    Cleared,
};

struct effective_limit {
    server_limit limit;
    limit_stage stage { limit_stage::Pending };
    timestamp since;

    friend bool operator==(const effective_limit&, const effective_limit&) = default;
};

/// Whether this host's view is fresh enough to place flows.
enum class sync_state : std::uint8_t { Starting, Unsynchronized, Synchronized, Isolated };

/// Configuration, membership and limits for the packet thread. Immutable; a newer snapshot replaces it.
struct routing_snapshot {
    std::uint64_t version {};
    config_index appliedIndex;
    sync_state sync { sync_state::Starting };
    host_id self;
    std::uint64_t flowHashSeed {};
    /// Hosts that own flows: alive and suspect ones, sorted by id, this host included unless it is leaving.
    std::vector<member> owners;
    /// Number of hosts among which a limit is divided: the larger of the hosts in view and those in the
    /// platform's list.
    std::uint32_t admissionHosts { 1 };
    std::vector<std::shared_ptr<const service_config>> services;
    /// Names of data centres that are out.
    std::set<std::string> dataCentresOut;
    std::vector<effective_limit> limits;
};

} // namespace shallotcove::core
