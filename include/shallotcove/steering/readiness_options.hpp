#pragma once

#include <chrono>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/steering_engine.hpp>

namespace shallotcove::steering {

struct readiness_options {
    /// Share of new flows with unreachable servers from which on a host asks to get no more callers.
    double unreachableShare { 0.5 };
    /// The share has to hold this long.
    core::duration confirmation { std::chrono::milliseconds { 100 } };
    /// A host that knows no other way to find out takes callers again after this time.
    core::duration blindRetry { std::chrono::milliseconds { 1500 } };
    /// After an isolation a host stays ready this long, so that routers are not sent back and forth, and the
    /// hosts of a fleet whose servers are all down stay in use.
    core::duration holdAfterIsolation { std::chrono::milliseconds { 2000 } };
};

} // namespace shallotcove::steering
