#pragma once

#include <shallotcove/core/service_config.hpp>

#include "scenario_store.hpp"
#include "scenario_table.hpp"
#include "scenario_traffic.hpp"

namespace shallotcove::testbench {

inline constexpr std::uint32_t dataCentreCount = 3;

/// Makes the service of a scenario: servers (14 in most scenarios) with unequal weights in three data
/// centres.
core::service_config makeScenarioService(std::uint32_t serverCount);
void storeService(scenario_store&, scenario_traffic&, const core::service_config&, core::timestamp now);

/// Applies a change of the service, a data centre or a backend server to the store and to the simulated
/// servers. scenario_cluster applies the changes of hosts.
void applyChange(scenario_store&, scenario_traffic&, const scenario_change&, core::timestamp now);

std::string dataCentreName(std::uint32_t number);

} // namespace shallotcove::testbench
