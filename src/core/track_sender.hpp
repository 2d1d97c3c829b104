#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <shallotcove/core/packet_engine.hpp>

#include <shallotcove/core/token_bucket.hpp>

namespace shallotcove::core {

/// Collects track batches and hints within their budgets.
class track_sender {
public:
    explicit track_sender(const packet_engine_options&);

    /// Queues a flow for a host; false if the budget is used up. Allocates.
    bool track(host_id to, const tracked_flow&, timestamp now);
    /// Whether the budget allows to send a flow to this many hosts.
    bool canTrack(std::size_t hosts, timestamp now) const;
    /// Queues a hint unless it is queued already or the budget is used up. Does not allocate.
    void hintTo(host_id to, const tracked_flow&, timestamp now);
    /// Moves everything queued into messages.
    void flush(packet_engine_output&);

private:
    struct queued_hint {
        host_id to;
        tracked_flow flow;

        friend bool operator==(const queued_hint&, const queued_hint&) = default;
    };

    token_bucket m_trackBudget;
    token_bucket m_hintBudget;
    std::map<host_id, std::vector<tracked_flow>> m_tracks;
    std::vector<queued_hint> m_hints;
};

} // namespace shallotcove::core
