#pragma once

#include "store_follower.hpp"
#include "tagged_packet_worker.hpp"

namespace shallotcove::daemon {

struct tagged_settings;

/// Options of the packet worker, with a random seed.
tagged_packet_options packetOptions(const tagged_settings&);
/// Options of the store follower, with a random seed.
store_follower_options followerOptions(const tagged_settings&);

} // namespace shallotcove::daemon
