#include <shallotcove/core/limit_policy.hpp>

#include <algorithm>

#include <shallotcove/core/limit_coordinator.hpp>

namespace shallotcove::core {

namespace {

    server_limit nextLimit(const server_limit& current, limit_kind kind, std::uint32_t newFlowsPerSecond)
    {
        server_limit next = current;
        next.sequence += 1;
        next.kind = kind;
        next.newFlowsPerSecond = newFlowsPerSecond;
        return next;
    }

    server_limit currentLimit(const limit_policy_input& input, service_id service, backend_server_id server)
    {
        const auto found = std::find_if(input.limits.begin(), input.limits.end(),
            [&](const server_limit& limit) { return limit.service == service && limit.server == server; });
        if (found != input.limits.end())
            return *found;
        server_limit none;
        none.service = service;
        none.server = server;
        return none;
    }

    bool hasServer(const epoch_plan& epoch, backend_server_id server)
    {
        return std::any_of(epoch.servers.begin(), epoch.servers.end(),
            [server](const weighted_server& weighted) { return weighted.server == server; });
    }

    /// Whether the server was added or has returned: it is in the prepared epoch but not in the active one,
    /// or the service has no active epoch yet.
    bool isNewInPreparedEpoch(const service_config& config, backend_server_id server)
    {
        if (config.epochs.empty() || config.epochs.back().phase != epoch_phase::Prepared)
            return false;
        if (config.epochs.size() == 1)
            return hasServer(config.epochs.back(), server);
        return hasServer(config.epochs.back(), server)
            && !hasServer(config.epochs[config.epochs.size() - 2], server);
    }

} // namespace

limit_policy limit_policy::create(const limit_policy_options& options) { return limit_policy(options); }

limit_policy::limit_policy(const limit_policy_options& options)
    : m_options(options)
{
}

void limit_policy::addEvidence(const server_evidence& evidence)
{
    server_outcomes& outcomes = m_servers[{ evidence.service, evidence.server }];
    outcomes.goodFlows += evidence.establishedFlows;
    outcomes.badFlows += evidence.silentFlows + evidence.retransmittedFirstPackets;
}

void limit_policy::setHealth(service_id service, backend_server_id server, bool isHealthy)
{
    m_servers[{ service, server }].isHealthy = isHealthy;
}

std::uint32_t limit_policy::suppressedDeadServers() const { return m_suppressedDeadServers; }

std::vector<server_limit> limit_policy::propose(const limit_policy_input& input)
{
    std::vector<server_limit> proposals;
    const bool isPeriodOver = input.now >= m_nextEvaluation;
    if (isPeriodOver) {
        m_nextEvaluation = input.now + m_options.period;
        m_suppressedDeadServers = 0;
        m_deadProposals.clear();
    }
    for (const std::shared_ptr<const service_config>& service : input.services) {
        for (const backend_server& server : service->servers) {
            if (server.state != server_state::Active)
                continue;
            const server_limit current = currentLimit(input, service->id, server.id);
            std::optional<server_limit> proposal;
            // Limited at once: the prepared epoch becomes active only after its new servers are limited.
            if (isNewInPreparedEpoch(*service, server.id) && current.kind != limit_kind::Cold
                && current.kind != limit_kind::Dead)
                proposal = nextLimit(current, limit_kind::Cold, server.coldNewFlowsPerSecond);
            else if (isPeriodOver)
                proposal = evaluate(input, *service, server, current);
            if (!proposal)
                continue;
            proposal->proposer = input.self;
            proposals.push_back(*proposal);
        }
    }
    return proposals;
}

std::optional<server_limit> limit_policy::evaluate(const limit_policy_input& input,
    const service_config& service, const backend_server& server, const server_limit& current)
{
    server_outcomes& outcomes = m_servers[{ service.id, server.id }];
    outcomes.unhealthyPeriods = outcomes.isHealthy ? 0 : outcomes.unhealthyPeriods + 1;
    outcomes.healthyPeriods = outcomes.isHealthy ? outcomes.healthyPeriods + 1 : 0;
    const bool looksDead = isDead(outcomes);
    const bool isCoordinator = limitCoordinatorOf(input.owners, service.id, server.id) == input.self;
    const server_outcomes evaluated = outcomes;
    outcomes.goodFlows = 0;
    outcomes.badFlows = 0;

    if (looksDead && current.kind != limit_kind::Dead) {
        if (canLimitAsDead(input, service)) {
            ++m_deadProposals[service.id];
            return nextLimit(current, limit_kind::Dead, 0);
        }
        ++m_suppressedDeadServers;
        return std::nullopt;
    }
    if (current.kind == limit_kind::Dead) {
        const bool hasRecovered
            = isCoordinator && evaluated.healthyPeriods >= m_options.healthPeriods && !looksDead;
        return hasRecovered
            ? std::optional(nextLimit(current, limit_kind::Cold, server.coldNewFlowsPerSecond))
            : std::nullopt;
    }
    return evaluateFlows(server, evaluated, current, isCoordinator);
}

std::optional<server_limit> limit_policy::evaluateFlows(const backend_server& server,
    const server_outcomes& outcomes, const server_limit& current, bool isCoordinator) const
{
    const std::uint32_t flows = outcomes.goodFlows + outcomes.badFlows;
    const double share = badShare(outcomes);
    if (flows >= m_options.minimumFlows && share >= m_options.overloadBadShare) {
        if (current.kind == limit_kind::Clear)
            return nextLimit(current, limit_kind::Cold, server.coldNewFlowsPerSecond);
        // Only the coordinator halves the limit; otherwise several hosts would halve it for the same
        // failures.
        const std::uint32_t halved = std::max(server.coldNewFlowsPerSecond, current.newFlowsPerSecond / 2);
        return isCoordinator && halved < current.newFlowsPerSecond
            ? std::optional(nextLimit(current, current.kind, halved))
            : std::nullopt;
    }
    const bool mayGrow = isCoordinator && current.kind != limit_kind::Clear && outcomes.goodFlows > 0
        && share <= m_options.healthyBadShare;
    if (!mayGrow)
        return std::nullopt;
    const std::uint64_t grown
        = static_cast<std::uint64_t>(current.newFlowsPerSecond * m_options.growthFactor) + 1;
    const std::uint64_t clearRate = server.newFlowsPerSecond != 0
        ? server.newFlowsPerSecond
        : std::uint64_t { server.coldNewFlowsPerSecond } * m_options.clearMultiple;
    if (grown >= clearRate)
        return nextLimit(current, limit_kind::Clear, 0);
    return nextLimit(current, current.kind, static_cast<std::uint32_t>(grown));
}

bool limit_policy::canLimitAsDead(const limit_policy_input& input, const service_config& service) const
{
    const auto dead = std::count_if(input.limits.begin(), input.limits.end(), [&](const server_limit& limit) {
        return limit.service == service.id && limit.kind == limit_kind::Dead;
    });
    const auto active = std::count_if(service.servers.begin(), service.servers.end(),
        [](const backend_server& server) { return server.state == server_state::Active; });
    const auto proposed = m_deadProposals.find(service.id);
    const std::uint32_t newlyProposed = proposed == m_deadProposals.end() ? 0 : proposed->second;
    return static_cast<double>(dead + newlyProposed + 1)
        <= static_cast<double>(active) * m_options.maximumDeadShare;
}

bool limit_policy::isDead(const server_outcomes& outcomes) const
{
    const bool looksDeadByFlows = outcomes.goodFlows + outcomes.badFlows >= m_options.minimumFlows
        && badShare(outcomes) >= m_options.deadBadShare;
    return looksDeadByFlows || outcomes.unhealthyPeriods >= m_options.healthPeriods;
}

double limit_policy::badShare(const server_outcomes& outcomes) const
{
    const std::uint32_t flows = outcomes.goodFlows + outcomes.badFlows;
    return flows == 0 ? 0.0 : static_cast<double>(outcomes.badFlows) / flows;
}

} // namespace shallotcove::core
