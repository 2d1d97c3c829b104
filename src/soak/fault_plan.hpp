#pragma once

#include <vector>

#include "fault.hpp"

namespace shallotcove::soak {

struct soak_options;

/// Calm time before the first fault, for the start of the hosts and the first judgements.
inline constexpr std::chrono::milliseconds calmStart { 5000 };

/// Faults of a run in the order of their times, in series and overlapping; the same for the same options.
std::vector<fault> planFaults(const soak_options&);

} // namespace shallotcove::soak
