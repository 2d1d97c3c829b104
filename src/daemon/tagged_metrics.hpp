#pragma once

#include <cstdint>

namespace shallotcove::daemon {

class metrics;
struct store_follower_counts;
struct tagged_channels;

/// Updates the metrics from the counters and states that the threads share.
void refreshMetrics(metrics&, const tagged_channels&, const store_follower_counts&, std::uint64_t revision);

} // namespace shallotcove::daemon
