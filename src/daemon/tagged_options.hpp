#pragma once

#include "store_follower.hpp"
#include "tagged_packet_worker.hpp"

namespace shallotcove::daemon {

struct tagged_settings;

tagged_packet_options packetOptions(const tagged_settings&);
store_follower_options followerOptions(const tagged_settings&);

} // namespace shallotcove::daemon
