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

/// Proposes limits of backend servers from this host's evidence and health probes. Any host may limit an
/// unlimited server as cold, or any server as dead. Only the server's coordinator, the first host
/// in rendezvous order for it, changes the rate of a limit, clears it, or lets a dead server return.
class limit_policy {
public:
    static limit_policy create(const limit_policy_options&);

    void addEvidence(const server_evidence&);
    void setHealth(service_id, backend_server_id, bool isHealthy);
    std::vector<server_limit> propose(const limit_policy_input&);

    /// Servers that look dead but were not limited in the last evaluation, because of
    /// limit_policy_options::maximumDeadShare.
    std::uint32_t suppressedDeadServers() const;

private:
    using server_key = std::pair<service_id, backend_server_id>;
    /// Flow outcomes of one server in the current period, and results of its health probes.
    struct server_outcomes {
        std::uint32_t goodFlows {};
        std::uint32_t badFlows {};
        bool isHealthy { true };
        std::uint32_t unhealthyPeriods {};
        std::uint32_t healthyPeriods {};
    };

    explicit limit_policy(const limit_policy_options&);

    std::optional<server_limit> evaluate(
        const limit_policy_input&, const service_config&, const backend_server&, const server_limit& current);
    std::optional<server_limit> evaluateFlows(
        const backend_server&, const server_outcomes&, const server_limit& current, bool isCoordinator) const;
    bool canLimitAsDead(const limit_policy_input&, const service_config&) const;
    bool isDead(const server_outcomes&) const;
    double badShare(const server_outcomes&) const;

    limit_policy_options m_options;
    std::map<server_key, server_outcomes> m_servers;
    std::map<service_id, std::uint32_t> m_deadProposals;
    timestamp m_nextEvaluation;
    std::uint32_t m_suppressedDeadServers {};
};

} // namespace shallotcove::core
