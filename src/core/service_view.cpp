#include "service_view.hpp"

#include <algorithm>
#include <limits>

#include <shallotcove/core/rendezvous.hpp>

namespace shallotcove::core {

namespace {

    /// Burst of a host's share of a limit, in seconds of its rate. Small, because the bursts of all hosts add
    /// up at the server.
    constexpr double limitBurstSeconds = 0.25;

    bool isInPrefix(const ip_address& address, const class_view& callers)
    {
        const std::size_t wholeBytes = callers.prefixLength / 8;
        if (!std::equal(
                address.bytes.begin(), address.bytes.begin() + wholeBytes, callers.prefix.bytes.begin()))
            return false;
        const unsigned remainingBits = callers.prefixLength % 8;
        if (remainingBits == 0)
            return true;
        const unsigned mask = (0xffU << (8 - remainingBits)) & 0xffU;
        return ((address.bytes[wholeBytes] ^ callers.prefix.bytes[wholeBytes]) & mask) == 0;
    }

    /// Tokens that this host's share of a new limit starts with. If all hosts started with none, they would
    /// gain their first token at the same time and admit flows together; staggered by rank, the first tokens
    /// follow each other at the rate of the limit. Hosts that do not see all others cannot agree on an order,
    /// so they start with none.
    double initialTokens(const routing_snapshot& snapshot)
    {
        const std::size_t hosts = snapshot.owners.size();
        if (hosts == 0 || hosts < snapshot.admissionHosts)
            return 0;
        const auto self = std::find_if(snapshot.owners.begin(), snapshot.owners.end(),
            [&](const member& owner) { return owner.id == snapshot.self; });
        const auto rank = static_cast<std::size_t>(self - snapshot.owners.begin());
        return rank == hosts ? 0 : static_cast<double>(hosts - 1 - rank) / static_cast<double>(hosts);
    }

    double hostShareOf(std::uint32_t limit, const routing_snapshot& snapshot)
    {
        return static_cast<double>(limit) / std::max(1U, snapshot.admissionHosts);
    }

} // namespace

service_view::service_view(const service_view_input& input, flow_counters& counters)
    : m_config(input.config)
{
    addServers(input, counters);
    addLimits(input);
    addPlans();
    addClasses(input, counters);
    m_costs.resize(m_servers.size());
}

void service_view::addServers(const service_view_input& input, flow_counters& counters)
{
    for (const backend_server& server : m_config->servers) {
        server_view view;
        view.id = server.id;
        view.address = server.address;
        view.state = server.state;
        view.isDataCentreOut = input.snapshot.dataCentresOut.contains(server.dataCentre);
        view.counters = &counters.server(m_config->id, server.id);
        m_servers.push_back(view);
    }
    std::sort(m_servers.begin(), m_servers.end(),
        [](const server_view& left, const server_view& right) { return left.id < right.id; });
}

void service_view::addLimits(const service_view_input& input)
{
    for (const effective_limit* const limit : input.limits) {
        server_view* const server = findServer(limit->limit.server);
        if (server == nullptr)
            continue;
        m_hasLimits = true;
        server->hasLimit = true;
        server->kind = limit->limit.kind;
        server->stage = limit->stage;
        server->limitedSince = limit->since;
        const double rate = limit->limit.kind == limit_kind::Dead
            ? 0.0
            : hostShareOf(limit->limit.newFlowsPerSecond, input.snapshot);
        const double burst = std::max(1.0, rate * limitBurstSeconds);
        const service_view* const previousView = input.previous;
        const auto previousServer = previousView == nullptr
            ? std::vector<server_view>::const_iterator {}
            : std::lower_bound(previousView->m_servers.begin(), previousView->m_servers.end(), server->id,
                [](const server_view& view, backend_server_id id) { return view.id < id; });
        const bool hasPrevious = previousView != nullptr && previousServer != previousView->m_servers.end()
            && previousServer->id == server->id && previousServer->hasLimit;
        server->share = hasPrevious ? previousServer->share.withRate(rate, burst, input.now)
                                    : token_bucket(rate, burst, initialTokens(input.snapshot), input.now);
    }
}

void service_view::addPlans()
{
    // The servers of the first epoch get their cold limits before it becomes active. Until then no flow is
    // placed.
    const auto isActive = [](const epoch_plan& epoch) { return epoch.phase == epoch_phase::Active; };
    if (std::none_of(m_config->epochs.begin(), m_config->epochs.end(), isActive))
        return;
    for (const epoch_plan& epoch : m_config->epochs) {
        if (epoch.phase == epoch_phase::Active)
            m_activePlan = m_plans.size();
        plan_view& plan = m_plans.emplace_back();
        for (const weighted_server& weighted : epoch.servers) {
            const server_view* const server = findServer(weighted.server);
            if (server != nullptr && weighted.weight > 0)
                plan.push_back(
                    { static_cast<std::uint32_t>(server - m_servers.data()), 1.0 / weighted.weight });
        }
        for (const plan_entry& entry : plan)
            m_plannedServers.push_back(entry.server);
    }
    std::sort(m_plannedServers.begin(), m_plannedServers.end());
    m_plannedServers.erase(
        std::unique(m_plannedServers.begin(), m_plannedServers.end()), m_plannedServers.end());
}

void service_view::addClasses(const service_view_input& input, flow_counters& counters)
{
    for (const caller_class& callers : m_config->classes) {
        class_view view;
        view.prefix = callers.prefix;
        view.prefixLength = std::min<std::uint8_t>(callers.prefixLength, 128);
        view.isUnlimited = callers.newFlowsPerSecond == 0;
        const double rate = hostShareOf(callers.newFlowsPerSecond, input.snapshot);
        const double burst = std::max(1.0, rate);
        const std::size_t index = m_classes.size();
        const bool hasPrevious = input.previous != nullptr && index + 1 < input.previous->m_classes.size()
            && !input.previous->m_classes[index].isUnlimited;
        view.share = hasPrevious ? input.previous->m_classes[index].share.withRate(rate, burst, input.now)
                                 : token_bucket(rate, burst, burst, input.now);
        view.counters = &counters.callerClass(m_config->id, static_cast<std::uint32_t>(index));
        m_classes.push_back(view);
    }
    class_view unclassified;
    unclassified.counters
        = &counters.callerClass(m_config->id, static_cast<std::uint32_t>(m_config->classes.size()));
    m_classes.push_back(unclassified);
}

server_view* service_view::findServer(backend_server_id id)
{
    const auto found = std::lower_bound(m_servers.begin(), m_servers.end(), id,
        [](const server_view& view, backend_server_id wanted) { return view.id < wanted; });
    return found == m_servers.end() || found->id != id ? nullptr : &*found;
}

flow_choice service_view::choose(const flow_hash& flow)
{
    for (const std::uint32_t index : m_plannedServers)
        m_costs[index] = rendezvousCost(flow, m_servers[index].id);
    flow_choice choice;
    for (std::size_t index = 0; index < m_plans.size(); ++index) {
        server_view* const server = choiceOfPlan(m_plans[index]);
        if (index == 0)
            choice.base = server;
        if (index == m_activePlan)
            choice.active = server;
        if (server != choice.base || (server != nullptr && server->hasLimit))
            choice.isAmbiguous = true;
    }
    return choice;
}

server_view* service_view::choiceOfPlan(const plan_view& plan)
{
    server_view* best {};
    double bestScore = std::numeric_limits<double>::infinity();
    for (const plan_entry& entry : plan) {
        const double score = m_costs[entry.server] * entry.inverseWeight;
        if (score < bestScore) {
            bestScore = score;
            best = &m_servers[entry.server];
        }
    }
    return best;
}

server_view* service_view::nextChoice(const server_view* previous)
{
    if (m_plans.empty())
        return nullptr;
    const plan_view& plan = m_plans[m_activePlan];
    double previousScore = -1.0;
    for (const plan_entry& entry : plan) {
        if (&m_servers[entry.server] == previous)
            previousScore = m_costs[entry.server] * entry.inverseWeight;
    }
    server_view* best {};
    double bestScore = std::numeric_limits<double>::infinity();
    for (const plan_entry& entry : plan) {
        const double score = m_costs[entry.server] * entry.inverseWeight;
        if (score > previousScore && score < bestScore) {
            bestScore = score;
            best = &m_servers[entry.server];
        }
    }
    return best;
}

bool service_view::hasPreparedEpoch() const
{
    return !m_config->epochs.empty() && m_config->epochs.back().phase == epoch_phase::Prepared;
}

class_view& service_view::callerClassOf(const ip_address& caller)
{
    // The longest matching prefix wins.
    class_view* best = &m_classes.back();
    for (class_view& callers : m_classes) {
        const bool isBetter = best == &m_classes.back() || callers.prefixLength > best->prefixLength;
        if (&callers != &m_classes.back() && isBetter && isInPrefix(caller, callers))
            best = &callers;
    }
    return *best;
}

} // namespace shallotcove::core
