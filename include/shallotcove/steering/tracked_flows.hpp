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
    /// No server has room for it yet.
    Waiting,
    /// To be refused unless a later packet shows that another host opened it.
    Declined,
    /// Offered to a server; the caller has not acknowledged one yet.
    Opening,
    Open,
    /// Kept for a moment to recognise late copies of the first packet.
    Ended,
};

/// What this host knows of a flow. The tag in its packets is enough to steer it; this is for load, evidence
/// and repeated first packets.
struct flow_record {
    flow_state state { flow_state::Opening };
    /// The server that has the flow, or that it was offered to last.
    server_tag server;
    /// Whether it is in the load of that server; not while the server does not answer.
    bool isCountedAsLoad {};
    /// All servers that it was offered to, the last one included.
    std::vector<server_tag> offered;
    caller_packet opening;
    core::timestamp startedAt;
    core::timestamp offeredAt;
    core::timestamp lastPacketAt;
    /// Whether the caller waits for an answer. The flow is load only then.
    bool awaitsAnswer {};
    bool hadRequest {};
    /// Whether the answer took so long that it counts against the server.
    bool isUnanswered {};
    core::timestamp requestedAt;
    /// What the caller had received of the flow when it sent its request; more shows that the answer came.
    std::uint32_t acknowledgedBeforeRequest {};
    /// Why a declined flow is refused.
    packet_reason refusalReason { packet_reason::None };
    /// When the caller stops waiting for the flow to open.
    core::timestamp openingDeadline;
    /// Silence after which the flow no longer counts.
    core::duration idleTimeout {};
};

/// Bounded table of the flows that entered through this host.
class tracked_flows {
public:
    using record_handler = std::function<void(flow_record&)>;

    explicit tracked_flows(std::size_t capacity);

    /// Null if the table is full.
    flow_record* add(const flow_address&);
    flow_record* find(const flow_address&);
    void erase(const flow_address&);
    void forEach(const record_handler& handle);
    /// Removes idle and ended flows; hands over those that had not ended.
    void expire(core::timestamp now, core::duration endedFlowRetention, const record_handler&);

    std::size_t size() const { return m_flows.size(); }

private:
    std::size_t m_capacity;
    std::unordered_map<flow_address, flow_record> m_flows;
};

} // namespace shallotcove::steering
