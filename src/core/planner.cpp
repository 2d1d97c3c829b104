#include <shallotcove/core/planner.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

#include <shallotcove/core/config_limits.hpp>
#include <shallotcove/core/epoch_pruning.hpp>

namespace shallotcove::core {

namespace {

    using capacity_factors = std::map<std::pair<service_id, backend_server_id>, double>;

    std::uint32_t scaledWeight(std::uint32_t weight, double factor)
    {
        return static_cast<std::uint32_t>(std::clamp<double>(std::round(weight * factor), 1, maximumWeight));
    }

    /// Servers that may take new flows, sorted by id, with their weights scaled by the estimated capacity.
    std::vector<weighted_server> desiredServers(const service_config& config, const planner_input& input)
    {
        std::vector<weighted_server> servers;
        for (const backend_server& server : config.servers) {
            if (server.state != server_state::Active || input.dataCentresOut.contains(server.dataCentre))
                continue;
            const auto factor = input.capacityFactors.find({ config.id, server.id });
            servers.push_back({ server.id,
                scaledWeight(server.weight, factor == input.capacityFactors.end() ? 1.0 : factor->second) });
        }
        std::sort(servers.begin(), servers.end());
        return servers;
    }

    bool haveSameServers(const std::vector<weighted_server>& left, const std::vector<weighted_server>& right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(),
            [](const weighted_server& a, const weighted_server& b) { return a.server == b.server; });
    }

    /// Largest relative change of a weight. Both lists must contain the same servers.
    double largestRelativeChange(
        const std::vector<weighted_server>& from, const std::vector<weighted_server>& to)
    {
        double largest = 0;
        for (std::size_t i = 0; i < from.size(); ++i)
            largest
                = std::max(largest, std::abs(double(to[i].weight) - double(from[i].weight)) / from[i].weight);
        return largest;
    }

    epoch_number nextEpochNumber(const service_config& config)
    {
        return { config.epochs.empty() ? 1 : config.epochs.back().number.value + 1 };
    }

    bool hasServer(const epoch_plan& epoch, backend_server_id server)
    {
        return std::any_of(epoch.servers.begin(), epoch.servers.end(),
            [server](const weighted_server& weighted) { return weighted.server == server; });
    }

    /// Whether every server that the prepared epoch has and the active epoch lacks is limited.
    bool areNewServersLimited(const service_config& config, const planner_input& input)
    {
        const epoch_plan& prepared = config.epochs.back();
        const epoch_plan active
            = config.epochs.size() < 2 ? epoch_plan {} : config.epochs[config.epochs.size() - 2];
        return std::all_of(
            prepared.servers.begin(), prepared.servers.end(), [&](const weighted_server& weighted) {
                return hasServer(active, weighted.server)
                    || input.limitedServers.contains({ config.id, weighted.server });
            });
    }

    /// The service with its newest epoch active, if every host that may be serving is ready for that epoch.
    std::optional<service_config> activateEpoch(const planner_service& service, const planner_input& input)
    {
        const bool isAppliedEverywhere = input.minimumApplied >= service.modified;
        const bool areFlowsTracked
            = service.config->protocol == transport::Tcp || input.minimumPreparedScan >= service.modified;
        if (!isAppliedEverywhere || !areFlowsTracked || !areNewServersLimited(*service.config, input))
            return std::nullopt;
        service_config next = *service.config;
        next.epochs.back().phase = epoch_phase::Active;
        return next;
    }

    /// The service with only its newest epoch, the active one, if no flow needs an older epoch.
    std::optional<service_config> retireEpochs(const planner_service& service, const planner_input& input)
    {
        const bool isScanned = input.minimumRetirementScan >= service.modified;
        if (service.config->epochs.size() < 2 || !isScanned
            || input.blockedServices.contains(service.config->id))
            return std::nullopt;
        service_config next = *service.config;
        next.epochs.erase(next.epochs.begin(), next.epochs.end() - 1);
        return next;
    }

    service_config prepareEpoch(const service_config& config, const std::vector<weighted_server>& servers)
    {
        service_config next = config;
        if (next.epochs.size() >= maximumLiveEpochs)
            next.epochs = pruneEpochs(next.epochs);
        next.epochs.push_back({ nextEpochNumber(config), epoch_phase::Prepared, servers });
        return next;
    }

    /// Replaces the prepared epoch by a new one. This is safe because no flow has been placed by it.
    service_config replacePreparedEpoch(
        const service_config& config, const std::vector<weighted_server>& servers)
    {
        service_config next = config;
        next.epochs.back() = { nextEpochNumber(config), epoch_phase::Prepared, servers };
        return next;
    }

    bool hasCapacityFactor(const service_config& config, const capacity_factors& factors)
    {
        const auto first = factors.lower_bound({ config.id, backend_server_id {} });
        return first != factors.end() && first->first.first == config.id;
    }

} // namespace

planner planner::create(const planner_options& options) { return planner(options); }

planner::planner(const planner_options& options)
    : m_options(options)
    , m_writeTokens(options.writesPerSecond)
{
}

std::vector<planned_write> planner::plan(const planner_input& input)
{
    const double elapsed = std::chrono::duration<double>(input.now - m_lastRefill).count();
    m_lastRefill = input.now;
    m_writeTokens
        = std::min<double>(m_options.writesPerSecond, m_writeTokens + elapsed * m_options.writesPerSecond);

    std::vector<planned_write> writes;
    for (const planner_service& service : input.services) {
        if (m_writeTokens < 1)
            break;
        std::optional<service_config> next = nextStep(service, input);
        if (!next)
            continue;
        m_writeTokens -= 1;
        writes.push_back({ service.key, service.modified, std::move(*next) });
    }
    return writes;
}

std::optional<service_config> planner::nextStep(const planner_service& service, const planner_input& input)
{
    const service_config& config = *service.config;
    if (config.state != service_state::Active)
        return std::nullopt;
    const std::vector<weighted_server> desired = desiredServers(config, input);
    if (config.epochs.empty())
        return desired.empty() ? std::nullopt : std::optional(prepareEpoch(config, desired));

    const epoch_plan& newest = config.epochs.back();
    const bool hasSameServers = haveSameServers(newest.servers, desired);
    if (newest.phase == epoch_phase::Prepared)
        return hasSameServers ? activateEpoch(service, input)
                              : std::optional(replacePreparedEpoch(config, desired));
    if (!hasSameServers || shouldChangeWeights(config, desired, input))
        return prepareEpoch(config, desired);
    return retireEpochs(service, input);
}

bool planner::shouldChangeWeights(
    const service_config& config, const std::vector<weighted_server>& desired, const planner_input& input)
{
    const double change = largestRelativeChange(config.epochs.back().servers, desired);
    // Without estimated factors a difference can only come from an operator, and no change by an operator is
    // too small to apply.
    const double threshold
        = hasCapacityFactor(config, input.capacityFactors) ? m_options.minimumWeightChange : 0;
    if (change <= threshold || config.epochs.size() > m_options.weightChangeLiveEpochs)
        return false;
    const auto lastChange = m_lastWeightChange.find(config.id);
    if (lastChange != m_lastWeightChange.end()
        && input.now - lastChange->second < m_options.weightChangeInterval)
        return false;
    m_lastWeightChange[config.id] = input.now;
    return true;
}

} // namespace shallotcove::core
