#include <shallotcove/core/capacity_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace shallotcove::core {

namespace {

    double toSeconds(duration length) { return std::chrono::duration<double>(length).count(); }

    double medianOf(std::vector<double> values)
    {
        const auto middle = values.begin() + std::ssize(values) / 2;
        std::nth_element(values.begin(), middle, values.end());
        if (values.size() % 2 == 1)
            return *middle;
        return (*middle + *std::max_element(values.begin(), middle)) / 2;
    }

    std::uint32_t totalWeight(const std::vector<const backend_server*>& servers)
    {
        std::uint32_t sum = 0;
        for (const backend_server* const server : servers)
            sum += server->weight;
        return sum;
    }

} // namespace

capacity_estimator capacity_estimator::create(const capacity_estimator_options& options)
{
    return capacity_estimator(options);
}

capacity_estimator::capacity_estimator(const capacity_estimator_options& options)
    : m_options(options)
{
}

void capacity_estimator::addReport(host_id from, const load_report& report, timestamp now)
{
    const auto known = m_reports.find(from);
    const bool hasRecentReport
        = known != m_reports.end() && now - known->second.receivedAt < m_options.reportLifetime;
    // A restarted host begins again with sequence 1; its reports are accepted once its last one has expired.
    if (hasRecentReport && report.sequence <= known->second.sequence)
        return;
    host_report latest { report.sequence, now, {} };
    for (const server_load& load : report.servers) {
        latest.loads[{ load.service, load.server }] = load;
        const auto server = m_servers.find({ load.service, load.server });
        if (server == m_servers.end())
            continue;
        server->second.newFlows += load.newFlows;
        server->second.badFlows += load.badFlows;
    }
    m_reports[from] = std::move(latest);
}

capacity_estimator::capacity_factors capacity_estimator::update(const capacity_estimator_input& input)
{
    removeStale(input);
    capacity_factors factors;
    for (const std::shared_ptr<const service_config>& service : input.services) {
        const std::vector<const backend_server*> servers = comparableServers(input, *service);
        resetAverages(*service, servers);
        updateAverages(*service, servers, input.now);
        applyCorrections(*service, servers, input.now);
        const bool isCorrected = std::any_of(
            service->servers.begin(), service->servers.end(), [&](const backend_server& server) {
                const auto found = m_servers.find({ service->id, server.id });
                return found != m_servers.end() && found->second.factor != 1;
            });
        for (const backend_server& server : service->servers) {
            const auto found = m_servers.find({ service->id, server.id });
            if (isCorrected && found != m_servers.end())
                factors[found->first] = found->second.factor;
        }
    }
    return factors;
}

std::vector<const backend_server*> capacity_estimator::comparableServers(
    const capacity_estimator_input& input, const service_config& service) const
{
    std::vector<const backend_server*> servers;
    if (service.epochs.empty())
        return servers;
    for (const backend_server& server : service.servers) {
        const std::vector<weighted_server>& placed = service.epochs.back().servers;
        const bool isPlaced = std::any_of(placed.begin(), placed.end(),
            [&](const weighted_server& weighted) { return weighted.server == server.id; });
        if (isPlaced && server.state == server_state::Active
            && !input.limitedServers.contains({ service.id, server.id }))
            servers.push_back(&server);
    }
    return servers;
}

/// Share of each server in the active flows of these servers. It is the median over the hosts, because
/// several hosts count the same flow and a single host may report wrong counts. Empty if no host has
/// minimumFlows.
std::vector<double> capacity_estimator::shares(
    service_id service, const std::vector<const backend_server*>& servers) const
{
    std::vector<std::vector<double>> views(servers.size());
    for (const auto& [id, host] : m_reports) {
        std::vector<double> flows;
        double sum = 0;
        for (const backend_server* const server : servers) {
            const auto load = host.loads.find({ service, server->id });
            flows.push_back(load == host.loads.end() ? 0 : load->second.activeFlows);
            sum += flows.back();
        }
        if (sum < m_options.minimumFlows)
            continue;
        for (std::size_t index = 0; index < flows.size(); ++index)
            views[index].push_back(flows[index] / sum);
    }
    std::vector<double> result;
    if (views.empty() || views.front().empty())
        return result;
    double sum = 0;
    for (std::vector<double>& view : views) {
        result.push_back(medianOf(std::move(view)));
        sum += result.back();
    }
    for (double& share : result)
        share = sum > 0 ? share / sum : 0;
    return result;
}

/// Resets the averages of servers that cannot be compared now: what was measured before a limit or a change
/// of the epochs does not hold after it.
void capacity_estimator::resetAverages(
    const service_config& service, const std::vector<const backend_server*>& servers)
{
    for (const backend_server& server : service.servers) {
        const auto found = m_servers.find({ service.id, server.id });
        if (found == m_servers.end() || std::find(servers.begin(), servers.end(), &server) != servers.end())
            continue;
        found->second.ratio.reset();
        found->second.newFlows = 0;
        found->second.badFlows = 0;
    }
}

void capacity_estimator::updateAverages(
    const service_config& service, const std::vector<const backend_server*>& servers, timestamp now)
{
    service_schedule& schedule
        = m_services.try_emplace(service.id, service_schedule { now, now }).first->second;
    const double decay = std::exp(-toSeconds(now - schedule.lastUpdate) / toSeconds(m_options.smoothing));
    schedule.lastUpdate = now;
    const std::vector<double> current = shares(service.id, servers);
    const double weights = totalWeight(servers);
    for (std::size_t index = 0; index < servers.size(); ++index) {
        server_estimate& server = m_servers[{ service.id, servers[index]->id }];
        server.newFlows *= decay;
        server.badFlows *= decay;
        if (current.empty())
            continue;
        const double ratio = current[index] * weights / servers[index]->weight;
        if (!server.ratio)
            schedule.nextCorrection = std::max(schedule.nextCorrection, now + m_options.correctionInterval);
        server.ratio = server.ratio ? decay * *server.ratio + (1 - decay) * ratio : ratio;
    }
}

/// Relative deviation from the share that the weight calls for; 0 if it is too small, may be due to hashing
/// alone, or must not raise the factor because the server has too many bad outcomes.
double capacity_estimator::significantDeviation(const server_estimate& server) const
{
    if (!server.ratio)
        return 0;
    const double noise = m_options.noiseMultiple / std::sqrt(std::max(1.0, server.newFlows));
    const double relative = *server.ratio - 1;
    if (std::abs(relative) < std::max(m_options.minimumDeviation, noise))
        return 0;
    const bool hasManyBadFlows = server.badFlows > m_options.maximumBadShare * server.newFlows;
    return relative < 0 && hasManyBadFlows ? 0 : relative;
}

void capacity_estimator::applyCorrections(
    const service_config& service, const std::vector<const backend_server*>& servers, timestamp now)
{
    service_schedule& schedule = m_services.at(service.id);
    const bool isUneven = std::any_of(servers.begin(), servers.end(), [&](const backend_server* server) {
        return significantDeviation(m_servers.at({ service.id, server->id })) != 0;
    });
    const bool hasReports = std::any_of(m_reports.begin(), m_reports.end(), [&](const auto& host) {
        const auto first = host.second.loads.lower_bound({ service.id, {} });
        return first != host.second.loads.end() && first->first.first == service.id;
    });
    if (!isUneven || !hasReports || now < schedule.nextCorrection)
        return;
    schedule.nextCorrection = now + m_options.correctionInterval;
    for (const backend_server* const each : servers) {
        server_estimate& server = m_servers.at({ service.id, each->id });
        if (significantDeviation(server) != 0) {
            const double ratio = std::max(0.1, *server.ratio);
            server.factor = std::clamp(server.factor * std::pow(ratio, -m_options.gain),
                m_options.minimumFactor, m_options.maximumFactor);
        }
        // The average from before the correction does not hold after it.
        server.ratio.reset();
    }
}

void capacity_estimator::removeStale(const capacity_estimator_input& input)
{
    std::erase_if(m_reports,
        [&](const auto& entry) { return input.now - entry.second.receivedAt >= m_options.reportLifetime; });
    std::set<server_key> configured;
    std::set<service_id> services;
    for (const std::shared_ptr<const service_config>& service : input.services) {
        services.insert(service->id);
        for (const backend_server& server : service->servers)
            if (server.state != server_state::Removed)
                configured.insert({ service->id, server.id });
    }
    std::erase_if(m_servers, [&](const auto& entry) { return !configured.contains(entry.first); });
    std::erase_if(m_services, [&](const auto& entry) { return !services.contains(entry.first); });
}

} // namespace shallotcove::core
