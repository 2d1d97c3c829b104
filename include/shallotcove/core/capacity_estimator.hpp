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

/// Learns from load reports which servers hold more or fewer open flows than their weight calls for. All that
/// it knows comes from its arguments; the same calls give the same factors.
class capacity_estimator {
public:
    using server_key = std::pair<service_id, backend_server_id>;
    using capacity_factors = std::map<server_key, double>;

    static capacity_estimator create(const capacity_estimator_options&);

    /// Repeated and overtaken reports are ignored.
    void addReport(host_id, const load_report&, timestamp now);
    /// Factors for planner_input::capacityFactors: servers of services with a correction.
    capacity_factors update(const capacity_estimator_input&);

private:
    struct host_view {
        std::uint64_t sequence {};
        timestamp receivedAt;
        std::map<server_key, server_load> loads;
    };
    struct server_average {
        /// Average of (share of active flows / due share); nothing before the first report.
        std::optional<double> ratio;
        /// New flows and bad outcomes over the last smoothing time.
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
    void forgetAverages(const service_config&, const std::vector<const backend_server*>&);
    void average(const service_config&, const std::vector<const backend_server*>&, timestamp now);
    void correct(const service_config&, const std::vector<const backend_server*>&, timestamp now);
    double deviation(const server_average&) const;
    void forget(const capacity_estimator_input&);

    capacity_estimator_options m_options;
    std::map<host_id, host_view> m_hosts;
    std::map<server_key, server_average> m_servers;
    std::map<service_id, service_schedule> m_services;
};

} // namespace shallotcove::core
