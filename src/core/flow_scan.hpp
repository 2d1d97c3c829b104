#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include <shallotcove/core/packet_engine.hpp>

#include "flow_records.hpp"
#include "routing_view.hpp"
#include "track_sender.hpp"

namespace shallotcove::core {

/// Scans both flow tables in rounds, a few slots per call. A round erases idle flows, finds services that
/// block the retirement of epochs, sends tracked flows to new owners, sends datagram flows for which a
/// prepared epoch chooses a different server, and refreshes tracked flows at their owners. The scan pauses
/// while the byte budget for track batches is used up.
class flow_scan {
public:
    explicit flow_scan(const packet_engine_options&);

    /// Applies a new view; starts a new round if owners have changed or a prepared epoch of a datagram
    /// service is new.
    void applyView(routing_view&, timestamp now);
    void advance(routing_view&, flow_records&, track_sender&, timestamp now);
    void report(packet_engine_output&) const;

private:
    void beginRound(routing_view&, timestamp now);
    void endRound(routing_view&, flow_records&, timestamp now);
    std::size_t slotsFor(duration elapsed) const;
    /// False if the byte budget is used up; the scan then stops at this slot until the next call.
    bool visitSlot(std::size_t slot, routing_view&, flow_records&, track_sender&, timestamp now);
    bool sendLocal(
        flow_entry&, service_view*, const flow_choice&, routing_view&, track_sender&, timestamp now);
    bool sendTracked(flow_entry&, routing_view&, track_sender&, timestamp now);
    void recordIfBlocking(const flow_entry&, service_view&, const flow_choice&);

    duration m_idleTimeout;
    timestamp m_lastAdvance;
    bool m_isInRound {};
    std::size_t m_slot {};
    config_index m_roundIndex;
    std::set<service_id> m_roundBlockedServices;
    bool m_isRefreshRound {};
    bool m_isUrgentRound {};
    timestamp m_nextRefresh;
    /// Owners at the start of the last complete round, which have been sent all tracked flows, and owners
    /// that the current round sends to.
    std::vector<host_id> m_syncedHosts;
    std::vector<host_id> m_roundHosts;
    bool m_hasSyncedHosts {};
    config_index m_lastAppliedIndex;
    config_index m_retirementScanIndex;
    config_index m_preparedScanIndex;
    std::vector<service_id> m_blockedServices;
};

} // namespace shallotcove::core
