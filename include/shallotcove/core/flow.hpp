#pragma once

#include <cstdint>

#include <shallotcove/core/flow_hash.hpp>
#include <shallotcove/core/flow_key.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/transport.hpp>

namespace shallotcove::core {

/// Hashes a flow key (XXH3-128). The seed is the same on every host of a fleet.
flow_hash hashFlow(const flow_key& key, std::uint64_t seed);

/// Properties of a caller packet that decisions depend on.
struct packet_summary {
    flow_key key;
    /// TCP SYN without ACK. Datagrams have no marked first packet.
    bool isFirst {};
    /// TCP FIN from the caller.
    bool isFinal {};
    /// TCP RST from the caller.
    bool isReset {};
    /// Length of the inner IP packet in bytes.
    std::uint32_t bytes {};

    friend bool operator==(const packet_summary&, const packet_summary&) = default;
};

} // namespace shallotcove::core
