#pragma once

#include <chrono>
#include <shallotcove/core/time.hpp>

namespace shallotcove::daemon {

struct packet_worker_options {
    core::duration advancePeriod { std::chrono::milliseconds { 20 } };
    /// Longest wait for a datagram; bounds the delay of commands while there is no traffic.
    int idleWaitMilliseconds { 10 };
};

} // namespace shallotcove::daemon
