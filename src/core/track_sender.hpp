#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <shallotcove/core/packet_engine.hpp>

#include <shallotcove/core/token_bucket.hpp>

namespace shallotcove::core {

/// Queues flows for track batches and hints, each within a byte budget.
class track_sender {
public:
    explicit track_sender(const packet_engine_options&);

    /// Queues a flow for a track batch to a host; false if the budget is used up. Allocates.
    bool queueFlow(host_id to, const tracked_flow&, timestamp now);
    /// Whether the budget allows sending a flow to this many hosts.
    bool canQueueFlow(std::size_t hosts, timestamp now) const;
    /// Queues a flow for a hint to a host, unless it is already queued, the queue is full or the budget is
    /// used up. Does not allocate.
    void queueHint(host_id to, const tracked_flow&, timestamp now);
    /// Moves all queued flows into messages.
    void flush(packet_engine_output&);

private:
    struct queued_hint {
        host_id to;
        tracked_flow flow;

        friend bool operator==(const queued_hint&, const queued_hint&) = default;
    };

    token_bucket m_trackBudget;
    token_bucket m_hintBudget;
    std::map<host_id, std::vector<tracked_flow>> m_queuedFlows;
    std::vector<queued_hint> m_queuedHints;
};

} // namespace shallotcove::core
