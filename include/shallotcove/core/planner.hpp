#pragma once

#include <map>
#include <optional>
#include <vector>

#include <shallotcove/core/capacity_estimator.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/plan.hpp>
#include <shallotcove/core/planned_write.hpp>
#include <shallotcove/core/planner_input.hpp>
#include <shallotcove/core/planner_options.hpp>
#include <shallotcove/core/planner_service.hpp>
#include <shallotcove/core/service_config.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

/// Prepares, activates and retires epochs. Runs on the host that holds the planner's lease. All durable state
/// is stored with the services, so another host can take over at any time.
class planner {
public:
    static planner create(const planner_options&);

    /// Returns at most one write per service. The input must leave out services whose previous write is still
    /// pending, so that there is at most one pending write per key.
    std::vector<planned_write> plan(const planner_input&);

private:
    explicit planner(const planner_options&);

    std::optional<service_config> nextStep(const planner_service&, const planner_input&);
    bool shouldChangeWeights(
        const service_config&, const std::vector<weighted_server>& desired, const planner_input&);

    planner_options m_options;
    std::map<service_id, timestamp> m_lastWeightChange;
    double m_writeTokens;
    timestamp m_lastRefill;
};

} // namespace shallotcove::core
