#pragma once

#include <cstdint>
#include <unordered_map>

#include <shallotcove/core/packet_engine.hpp>

#include "flow_counters.hpp"
#include "flow_table.hpp"
#include "routing_view.hpp"

namespace shallotcove::core {

/// Flow entries of a host: local ones, of flows whose packets it forwards as entry host, and tracked ones,
/// which it holds as owner or backup.
class flow_records {
public:
    explicit flow_records(const packet_engine_options&);

    flow_table& local() { return m_local; }
    flow_table& tracked() { return m_tracked; }
    flow_counters& counters() { return m_counters; }
    std::size_t localSize() const { return m_local.size(); }
    std::size_t trackedSize() const { return m_tracked.size(); }

    /// The entry of a flow of this service, or null.
    flow_entry* findLocal(const flow_hash&, service_id, timestamp now);
    flow_entry* findTracked(const flow_hash&, service_id, timestamp now);

    /// Records a flow, replacing its entry if there is one. If the table has no free slot for the flow,
    /// evicts a flow whose server can be recomputed; returns null if there is none.
    flow_entry* recordLocal(const tracked_flow&, std::uint32_t flags, routing_view&, timestamp now);
    flow_entry* recordTracked(const tracked_flow&, std::uint32_t flags, routing_view&, timestamp now);

    void eraseLocal(flow_entry&);
    void eraseTracked(flow_entry& entry) { m_tracked.erase(entry); }

    /// Prepares the records for flows of this service, so that record*() and markUnrecorded() do not allocate
    /// for it.
    void addService(service_id);
    /// Marks that a flow of the service may be open without an entry here; the mark expires after the idle
    /// time-out.
    void markUnrecorded(service_id, timestamp now);
    /// Whether a flow of the service may be open without an entry here.
    bool mayHaveUnrecorded(service_id, timestamp now) const;

private:
    flow_entry* record(flow_table&, const tracked_flow&, routing_view&, timestamp now);
    void decrementOpenFlows(const flow_entry&);

    flow_table m_local;
    flow_table m_tracked;
    flow_counters m_counters;
    duration m_idleTimeout;
    std::unordered_map<service_id, timestamp> m_unrecordedUntil;
};

} // namespace shallotcove::core
