#pragma once

#include <chrono>

namespace shallotcove::daemon {

/// The host stood still, for the log.
struct host_pause {
    std::chrono::milliseconds length {};
};

} // namespace shallotcove::daemon
