#pragma once

#include <vector>

#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/packet_engine_output.hpp>
#include <shallotcove/daemon/handling_sample.hpp>

namespace shallotcove::daemon {

/// Sent by the packet thread to the peer thread after each advance() of the packet engine.
struct packet_report {
    core::packet_engine_output output;
    std::vector<handling_sample> samples;
};

} // namespace shallotcove::daemon
