#pragma once

#include <chrono>

#include <shallotcove/core/time.hpp>

namespace shallotcove::daemon {

struct host_options {
    /// A graceful shutdown ends after the fabric has sent no packet for this long.
    core::duration quietPeriod { std::chrono::seconds { 2 } };
};

} // namespace shallotcove::daemon
