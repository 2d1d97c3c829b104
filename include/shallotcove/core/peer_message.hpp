#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/member.hpp>
#include <shallotcove/core/server_limit.hpp>

namespace shallotcove::core {

/// A limit and the ids of the hosts that have acknowledged it.
struct limit_update {
    server_limit limit;
    std::vector<host_id> acknowledgedBy;

    friend bool operator==(const limit_update&, const limit_update&) = default;
};

/// Updates of members and limits, carried by probes and their answers.
struct gossip {
    /// The sender itself comes first.
    std::vector<member> members;
    std::vector<limit_update> limits;

    friend bool operator==(const gossip&, const gossip&) = default;
};

struct ping {
    std::uint64_t probe {};
    gossip updates;

    friend bool operator==(const ping&, const ping&) = default;
};

/// Asks the receiver to probe target on behalf of the sender.
struct ping_request {
    std::uint64_t probe {};
    host_id target;
    gossip updates;

    friend bool operator==(const ping_request&, const ping_request&) = default;
};

/// Answers a ping, or a ping_request on behalf of target.
struct ack {
    std::uint64_t probe {};
    host_id target;
    gossip updates;

    friend bool operator==(const ack&, const ack&) = default;
};

/// Asks for all keys modified after an index.
struct config_pull {
    config_index since;

    friend bool operator==(const config_pull&, const config_pull&) = default;
};

/// Chunk of a key's value in an answer to a config_pull. The receiver applies a key when it has all bytes of
/// the value, and adopts upTo as its applied index when it has applied all keys of the answer.
struct config_push {
    std::string key;
    /// Modification index of the key.
    config_index modified;
    /// Applied index of the receiver once it has the complete answer.
    config_index upTo;
    /// Position of this key within the answer, and the number of keys in it, which is 0 if nothing changed.
    std::uint32_t number {};
    std::uint32_t count {};
    bool isDeleted {};
    std::uint32_t offset {};
    std::uint32_t totalBytes {};
    std::string bytes;
    /// config_pull::since of the pull that this answers.
    config_index since {};
    /// Keys deleted before this index may be missing from the answer instead of being listed as deleted. A
    /// receiver whose applied index is lower has to pull all keys.
    config_index deletionHorizon {};

    friend bool operator==(const config_push&, const config_push&) = default;
};

/// A flow whose backend server cannot be derived from the epochs alone.
struct tracked_flow {
    flow_hash flow;
    service_id service;
    backend_server_id server;

    friend bool operator==(const tracked_flow&, const tracked_flow&) = default;
};

/// Sends tracked flows to their owner or backup.
struct track_batch {
    std::vector<tracked_flow> flows;

    friend bool operator==(const track_batch&, const track_batch&) = default;
};

/// Informs an entry host of the servers of flows that it redirected.
struct hint {
    std::vector<tracked_flow> flows;

    friend bool operator==(const hint&, const hint&) = default;
};

/// Load of one backend server as one host sees it.
struct server_load {
    service_id service;
    backend_server_id server;
    /// Flows placed since the last report; each flow is counted by one host.
    std::uint32_t newFlows {};
    /// Flows that sent no further packet within 1 s of the first, and repeated first packets.
    std::uint32_t badFlows {};
    /// Flows that had a packet on the reporting host recently, as in server_evidence::activeFlows. Several
    /// hosts count the same flow.
    std::uint32_t activeFlows {};

    friend bool operator==(const server_load&, const server_load&) = default;
};

/// Reports to the holder of the planner's lease how flows are spread over the backend servers.
struct load_report {
    /// Increases with each report of a host; begins again when the host restarts.
    std::uint64_t sequence {};
    /// For each reported service, all of its servers that have flows.
    std::vector<server_load> servers;

    friend bool operator==(const load_report&, const load_report&) = default;
};

using peer_message
    = std::variant<ping, ping_request, ack, config_pull, config_push, track_batch, hint, load_report>;

/// Largest encoded peer message in bytes, checksum included.
inline constexpr std::size_t maximumPeerMessageBytes = 1400;

/// Number of flows that always fit into a track_batch or hint of maximumPeerMessageBytes, whatever their ids
/// are.
inline constexpr std::size_t maximumFlowsPerMessage = 48;

/// Number of servers that always fit into a load_report of maximumPeerMessageBytes, whatever their counts
/// are.
inline constexpr std::size_t maximumServersPerReport = 48;

/// A message and its destination.
struct addressed_message {
    host_id to;
    /// Used if the receiver is not a member yet.
    socket_address toAddress;
    peer_message message;

    friend bool operator==(const addressed_message&, const addressed_message&) = default;
};

} // namespace shallotcove::core
