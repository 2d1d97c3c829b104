#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/caller_packet.hpp>
#include <shallotcove/steering/hold_end.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

struct steering_options;

/// The held packets of one flow: a packet that begins a request, and those that arrived after it.
struct held_flow {
    server_tag server;
    core::timestamp releaseAt;
    /// Whether the flow has to be released without regard to room and time.
    bool isFlushed {};
    /// In the order of their arrival.
    std::vector<caller_packet> packets;
};

/// Requests on open flows that wait at this host until their server has room, in the order in which they are
/// released: by priority, then the oldest first. Their number, size and time are bounded. Answers load on
/// single servers: requests on open flows need no admission and would otherwise queue at a server that has
/// more flows than it can work on, ahead of more important ones.
class held_requests {
public:
    using room_test = std::function<bool(const held_flow&)>;

    /// Order of release. Numbers are given in the order of the holds.
    struct release_key {
        std::uint32_t priority {};
        std::uint64_t number {};

        friend auto operator<=>(const release_key&, const release_key&) = default;
    };

    /// One pass over all flows, which examines each of them once.
    struct release_pass {
        release_key after;
        /// Servers at which a flow was passed over for lack of room, in ascending order. Their later flows
        /// are not examined: a lower limit or a newer flow must not overtake it.
        std::vector<server_tag> fullServers;

        bool checkRoom(const held_flow&, const room_test& hasRoom);
    };

    /// A flow that was taken out, and why.
    struct taken_flow {
        release_key key;
        held_flow flow;
        hold_end end {};
    };

    explicit held_requests(const steering_options&);

    // Commands.

    /// Sets the longest time of a hold. If it is 0, nothing more is held, and held flows are flushed.
    void setHoldTime(core::duration);
    /// Holds the packet that begins a request for at most the given time.
    void hold(const caller_packet&, server_tag, std::uint32_t priority, core::duration longest,
        core::timestamp now);
    /// Queues a later packet of a held flow.
    void queue(const caller_packet&);
    /// Marks a flow to be released by the next pass with takeNext().
    void flush(const flow_address&);
    void flushAll();
    /// Removes and returns the first flow that has to be released or whose server has room. Begins after the
    /// flow that the pass returned last.
    std::optional<taken_flow> takeNext(const room_test& hasRoom, release_pass&, core::timestamp now);

    // Queries.

    bool isEnabled() const { return m_holdTime > core::duration::zero(); }
    bool isEmpty() const { return m_flows.empty(); }
    bool contains(const flow_address& flow) const { return !m_keys.empty() && m_keys.contains(flow); }
    /// Whether the bounds and the settings permit to hold one more packet.
    bool canHold(const caller_packet&) const;
    /// Whether the flow is held and has this packet already, with equal sequence and checksum.
    bool containsCopyOf(const caller_packet&) const;
    /// Whether a flow of the server with the same or a higher priority is held.
    bool hasEarlier(server_tag, std::uint32_t priority) const;
    /// When the first flow has to be released.
    std::optional<core::timestamp> nextRelease() const;
    std::size_t packetCount() const { return m_packetCount; }
    std::size_t payloadBytes() const { return m_payloadBytes; }

private:
    void add(held_flow&, const caller_packet&);

    core::duration m_holdTime;
    std::size_t m_maximumPackets;
    std::size_t m_maximumBytes;
    std::map<release_key, held_flow> m_flows;
    std::unordered_map<flow_address, release_key> m_keys;
    std::uint64_t m_nextNumber {};
    std::size_t m_packetCount {};
    std::size_t m_payloadBytes {};
};

} // namespace shallotcove::steering
