#pragma once

#include <chrono>

namespace shallotcove::daemon {

/// Interval in which the host did not run, reported to the log.
struct host_pause {
    std::chrono::milliseconds length {};
};

} // namespace shallotcove::daemon
