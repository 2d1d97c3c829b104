#pragma once

#include <vector>

#include <shallotcove/core/plan.hpp>

namespace shallotcove::core {

/// Number of flows that pruneEpochs() samples.
inline constexpr std::size_t pruningSamples = 4096;

/// Removes the epoch on which the fewest flows depend, but never the first (base) or the last one. A flow
/// depends on an epoch if that epoch alone chooses a different server: without the epoch, no host would find
/// the flow ambiguous. Returns lists of fewer than three epochs unchanged.
std::vector<epoch_plan> pruneEpochs(const std::vector<epoch_plan>& epochs);

} // namespace shallotcove::core
