#pragma once

#include <vector>

#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/packet_engine_output.hpp>
#include <shallotcove/daemon/handling_sample.hpp>

namespace shallotcove::daemon {

/// What the packet thread sends to the peer thread after each engine's advance().
struct packet_report {
    core::packet_engine_output output;
    std::vector<handling_sample> samples;
};

} // namespace shallotcove::daemon
