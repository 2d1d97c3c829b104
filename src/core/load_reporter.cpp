#include "load_reporter.hpp"

#include <algorithm>
#include <vector>

namespace shallotcove::core {

namespace {

    constexpr duration shortestPeriod = std::chrono::seconds { 1 };
    /// Reports that the planner receives from all hosts together. A report has at most 1,400 bytes, so
    /// reports take at most 11.2 KB/s at the planner and 1.4 KB/s at any other host.
    constexpr std::int64_t reportsPerSecond = 8;

    struct reported_service {
        std::uint64_t flows {};
        std::vector<server_load> servers;
    };

} // namespace

void load_reporter::addEvidence(const server_evidence& evidence)
{
    server_load& load = m_loads[{ evidence.service, evidence.server }];
    load.service = evidence.service;
    load.server = evidence.server;
    load.newFlows += evidence.newFlows;
    load.badFlows += evidence.silentFlows + evidence.retransmittedFirstPackets;
    load.activeFlows = evidence.activeFlows;
}

std::optional<load_report> load_reporter::advance(std::size_t hosts, timestamp now)
{
    if (m_loads.empty() || now < m_nextReport)
        return std::nullopt;
    m_nextReport = now
        + std::max(shortestPeriod,
            duration { std::chrono::seconds { 1 } } * static_cast<std::int64_t>(hosts) / reportsPerSecond);
    return build();
}

/// Reports services in descending order of active flows and leaves out those whose servers don't all fit:
/// shares among only a part of a service's servers would be meaningless.
load_report load_reporter::build()
{
    std::map<service_id, reported_service> byService;
    for (const auto& [key, load] : m_loads) {
        reported_service& service = byService[key.first];
        service.flows += load.activeFlows;
        service.servers.push_back(load);
    }
    m_loads.clear();
    std::vector<const reported_service*> services;
    for (const auto& [id, service] : byService)
        services.push_back(&service);
    std::stable_sort(
        services.begin(), services.end(), [](const reported_service* left, const reported_service* right) {
            return left->flows > right->flows;
        });
    load_report report { ++m_sequence, {} };
    for (const reported_service* const service : services)
        if (report.servers.size() + service->servers.size() <= maximumServersPerReport)
            report.servers.insert(report.servers.end(), service->servers.begin(), service->servers.end());
    return report;
}

} // namespace shallotcove::core
