#pragma once

#include <cstdint>

namespace shallotcove::daemon {

class metrics;
struct tagged_channels;

/// Brings the metrics up to date with what the threads counted.
void refreshMetrics(metrics&, const tagged_channels&, std::uint64_t storeCalls, std::uint64_t revision);

} // namespace shallotcove::daemon
