#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <shallotcove/core/backend_server.hpp>
#include <shallotcove/core/capacity_estimator_input.hpp>
#include <shallotcove/core/capacity_estimator_options.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/core/service_config.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// Derives capacity factors from load reports: a server that holds more active flows than its weight calls
/// for gets a factor below 1, one that holds fewer a factor above 1. Deterministic: the same sequence of
/// calls gives the same factors.
class capacity_estimator {
public:
    using server_key = std::pair<service_id, backend_server_id>;
    using capacity_factors = std::map<server_key, double>;

    static capacity_estimator create(const capacity_estimator_options&);

    /// Ignores a report whose sequence is not above that of the host's last report, unless that one has
    /// expired.
    void addReport(host_id, const load_report&, timestamp now);
    /// Returns planner_input::capacityFactors: a factor for every server of each service in which at least
    /// one server is corrected.
    capacity_factors update(const capacity_estimator_input&);

private:
    struct host_report {
        std::uint64_t sequence {};
        timestamp receivedAt;
        std::map<server_key, server_load> loads;
    };
    struct server_estimate {
        /// Exponential average of the server's share of active flows over the share that its weight calls
        /// for; nothing before the first report.
        std::optional<double> ratio;
        /// New flows and bad outcomes, decayed with the time constant capacity_estimator_options::smoothing.
        double newFlows {};
        double badFlows {};
        double factor { 1 };
    };
    struct service_schedule {
        timestamp lastUpdate;
        timestamp nextCorrection;
    };

    explicit capacity_estimator(const capacity_estimator_options&);

    std::vector<const backend_server*> comparableServers(
        const capacity_estimator_input&, const service_config&) const;
    std::vector<double> shares(service_id, const std::vector<const backend_server*>&) const;
    void resetAverages(const service_config&, const std::vector<const backend_server*>&);
    void updateAverages(const service_config&, const std::vector<const backend_server*>&, timestamp now);
    void applyCorrections(const service_config&, const std::vector<const backend_server*>&, timestamp now);
    double significantDeviation(const server_estimate&) const;
    void removeStale(const capacity_estimator_input&);

    capacity_estimator_options m_options;
    std::map<host_id, host_report> m_reports;
    std::map<server_key, server_estimate> m_servers;
    std::map<service_id, service_schedule> m_services;
};

} // namespace shallotcove::core
