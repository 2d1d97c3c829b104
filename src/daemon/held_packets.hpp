#pragma once

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

#include <platform/packet_layout.hpp>

#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::daemon {

/// Bytes of the packets that the steering engine holds, by flow in the order of their arrival. Their number
/// is bounded by the engine.
class held_packets {
public:
    /// A packet behind room for the prefix that names its server.
    using prefixed_packet = std::vector<std::byte>;

    void add(const steering::flow_address& flow, std::span<const std::byte> packet)
    {
        prefixed_packet& copy = m_packets[flow].emplace_back(platform::serverPrefixBytes);
        copy.insert(copy.end(), packet.begin(), packet.end());
    }
    /// Removes and returns all packets of a flow.
    std::vector<prefixed_packet> take(const steering::flow_address& flow)
    {
        auto node = m_packets.extract(flow);
        return node.empty() ? std::vector<prefixed_packet> {} : std::move(node.mapped());
    }

    bool contains(const steering::flow_address& flow) const { return m_packets.contains(flow); }

private:
    std::unordered_map<steering::flow_address, std::vector<prefixed_packet>> m_packets;
};

} // namespace shallotcove::daemon
