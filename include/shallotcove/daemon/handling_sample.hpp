#pragma once
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::daemon {

/// Time from receiving a batch of packets to the decision on one packet of it.
struct handling_sample {
    core::service_id service;
    core::duration elapsed {};
};

} // namespace shallotcove::daemon
