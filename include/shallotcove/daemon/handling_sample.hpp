#pragma once
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::daemon {

/// Time from the receipt of a batch to the decision on one of its packets.
struct handling_sample {
    core::service_id service;
    core::duration elapsed {};
};

} // namespace shallotcove::daemon
