#pragma once

#include <vector>

#include "fault.hpp"

namespace shallotcove::soak {

struct soak_options;

/// Time without faults at the start, in which hosts start up and are checked for the first time.
inline constexpr std::chrono::milliseconds warmUpTime { 5000 };

/// Returns the faults of a run ordered by time; they may overlap. The same options give the same faults.
std::vector<fault> planFaults(const soak_options&);

} // namespace shallotcove::soak
