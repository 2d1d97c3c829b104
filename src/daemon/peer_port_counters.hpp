#pragma once

#include <array>
#include <cstdint>
#include <shallotcove/daemon/ring.hpp>
#include <string>

namespace shallotcove::daemon {

/// Totals of a peer port since its creation.
struct peer_port_counters {
    std::uint64_t sentBytes {};
    std::uint64_t receivedBytes {};
    /// Indexed by wire::peer_codec_error.
    std::array<std::uint64_t, 8> dropped {};
    std::uint64_t sendFailed {};
    std::string lastDroppedSender;
    std::string lastSendFailure;
};

} // namespace shallotcove::daemon
