#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/caller_packet.hpp>
#include <shallotcove/steering/packet_decision.hpp>

namespace shallotcove::steering {

enum class flow_state : std::uint8_t {
    /// Queued until a server has room for it.
    Waiting,
    /// To be refused, unless a later packet shows that the flow was opened through another host.
    Declined,
    /// Offered to a server, whose answer the caller has not acknowledged yet.
    Opening,
    Open,
    /// Kept for a short time to recognise late retransmissions of the first packet.
    Ended,
};

/// State of a flow at this host. Packets can be steered by their tag alone; the record serves to count load,
/// to judge servers and to handle retransmitted opening packets.
struct flow_record {
    flow_state state { flow_state::Opening };
    /// The server that has the flow, or the last one that it was offered to.
    server_tag server;
    /// Whether the flow is included in the open flows of that server. False once an offer has timed out,
    /// while the flow is inactive and between requests.
    bool isCountedAsLoad {};
    /// Whether the flow is included in the established flows of that server.
    bool isEstablished {};
    /// All servers that the flow was offered to, including the last one.
    std::vector<server_tag> offered;
    /// The first packet of the flow, or the first that this host got if another host opened the flow.
    caller_packet opening;
    /// Highest sequence number of the flow's packets at this host, relative to that of the first one.
    std::int32_t highestSequence {};
    core::timestamp startedAt;
    core::timestamp offeredAt;
    core::timestamp lastPacketAt;
    /// Whether a request is unanswered. An open flow counts as load only then.
    bool awaitsAnswer {};
    bool hadRequest {};
    /// Whether the answer has been recorded as overdue for the server.
    bool isUnanswered {};
    core::timestamp requestedAt;
    /// When the payload of the request was forwarded, and the flows per slot at the server then, including
    /// this one.
    core::timestamp requestForwardedAt;
    double flowsPerSlotAtRequest {};
    /// Acknowledgement number of the caller when it sent its request; a higher one shows that the answer
    /// arrived.
    std::uint32_t acknowledgedBeforeRequest {};
    /// Why a declined flow is refused.
    packet_reason refusalReason { packet_reason::None };
    /// When the caller gives up if the flow has not opened.
    core::timestamp openingDeadline;
    /// Time without packets after which the flow is removed and no longer counts as load.
    core::duration idleTimeout {};
};

/// Bounded table of the flows that entered through this host.
class tracked_flows {
public:
    using record_handler = std::function<void(flow_record&)>;

    explicit tracked_flows(std::size_t capacity);

    /// Returns null if the table is full.
    flow_record* add(const flow_address&);
    flow_record* find(const flow_address&);
    void erase(const flow_address&);
    void forEach(const record_handler& handle);
    /// Removes idle and ended flows. Calls the handler for those that had not ended.
    void expire(core::timestamp now, core::duration endedFlowRetention, const record_handler&);

    std::size_t size() const { return m_flows.size(); }

private:
    std::size_t m_capacity;
    std::unordered_map<flow_address, flow_record> m_flows;
};

} // namespace shallotcove::steering
