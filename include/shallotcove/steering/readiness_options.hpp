#pragma once

#include <chrono>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>
#include <shallotcove/steering/steering_engine.hpp>

namespace shallotcove::steering {

struct readiness_options {
    /// Share of new flows with unreachable servers at which a host becomes isolated and asks the routers to
    /// send it no more callers.
    double unreachableShare { 0.5 };
    /// How long the share must stay that high, so that one lost packet does not isolate the host.
    core::duration confirmationTime { std::chrono::milliseconds { 100 } };
    /// An isolated host that has no other hosts to probe accepts callers again after this time, as it has no
    /// other way to find out whether the servers can be reached.
    core::duration retryWithoutProbe { std::chrono::milliseconds { 1500 } };
    /// After an isolation a host stays ready for this time, so that routers do not move callers back and
    /// forth and the hosts of a fleet whose servers are all down stay in use.
    core::duration holdAfterIsolation { std::chrono::milliseconds { 2000 } };
};

} // namespace shallotcove::steering
