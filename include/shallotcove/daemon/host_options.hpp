#pragma once

#include <chrono>

#include <shallotcove/core/time.hpp>

namespace shallotcove::daemon {

struct host_options {
    /// The fabric must have sent nothing for this long before a graceful shutdown ends.
    core::duration quietPeriod { std::chrono::seconds { 2 } };
};

} // namespace shallotcove::daemon
