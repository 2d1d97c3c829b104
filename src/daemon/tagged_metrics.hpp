#pragma once

#include <cstdint>

namespace shallotcove::daemon {

class metrics;
struct tagged_channels;

/// Updates the metrics from the counters and states that the threads share.
void refreshMetrics(metrics&, const tagged_channels&, std::uint64_t storeCalls, std::uint64_t revision);

} // namespace shallotcove::daemon
