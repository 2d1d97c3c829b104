#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <shallotcove/core/backend_server.hpp>
#include <shallotcove/core/capacity_estimator.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/limit_policy_input.hpp>
#include <shallotcove/core/limit_policy_options.hpp>
#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/server_evidence.hpp>
#include <shallotcove/core/server_limit.hpp>
#include <shallotcove/core/service_config.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// Proposes limits of backend servers from this host's evidence and health probes. Any host may tighten a
/// limit; only the server's keeper, the first host in rendezvous order for it, lets it grow or clears it.
class limit_policy {
public:
    static limit_policy create(const limit_policy_options&);

    void addEvidence(const server_evidence&);
    void setHealth(service_id, backend_server_id, bool isHealthy);
    std::vector<server_limit> propose(const limit_policy_input&);

    /// Servers that look dead but were not limited because too many of their service do.
    std::uint32_t suppressedDead() const;

private:
    using server_key = std::pair<service_id, backend_server_id>;
    /// Outcomes of flows and probes of one server in the current period.
    struct server_view {
        std::uint32_t goodFlows {};
        std::uint32_t badFlows {};
        bool isHealthy { true };
        std::uint32_t unhealthyPeriods {};
        std::uint32_t healthyPeriods {};
    };

    explicit limit_policy(const limit_policy_options&);

    std::optional<server_limit> judge(
        const limit_policy_input&, const service_config&, const backend_server&, const server_limit& current);
    std::optional<server_limit> judgeFlows(
        const backend_server&, const server_view&, const server_limit& current, bool isKeeper) const;
    bool mayLimitAsDead(const limit_policy_input&, const service_config&) const;
    bool isDead(const server_view&) const;
    double badShare(const server_view&) const;

    limit_policy_options m_options;
    std::map<server_key, server_view> m_servers;
    std::map<service_id, std::uint32_t> m_deadProposals;
    timestamp m_nextJudgement;
    std::uint32_t m_suppressedDead {};
};

} // namespace shallotcove::core
