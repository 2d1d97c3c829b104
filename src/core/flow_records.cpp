#include "flow_records.hpp"

namespace shallotcove::core {

namespace {

    /// Whether any host can compute the server of this flow without an entry.
    bool isRecomputable(const flow_entry& entry, routing_view& view)
    {
        service_view* const service = view.findService(entry.service);
        if (service == nullptr)
            return true;
        const flow_choice choice = service->choose(entry.flow);
        return !choice.isAmbiguous && choice.base != nullptr && choice.base->id == entry.server;
    }

} // namespace

flow_records::flow_records(const packet_engine_options& options)
    : m_local(options.localFlows, options.idleTimeout)
    , m_tracked(options.trackedFlows, options.idleTimeout)
    , m_idleTimeout(options.idleTimeout)
{
}

flow_entry* flow_records::findLocal(const flow_hash& flow, service_id service, timestamp now)
{
    flow_entry* const entry = m_local.find(flow, now);
    return entry != nullptr && entry->service == service ? entry : nullptr;
}

flow_entry* flow_records::findTracked(const flow_hash& flow, service_id service, timestamp now)
{
    flow_entry* const entry = m_tracked.find(flow, now);
    return entry != nullptr && entry->service == service ? entry : nullptr;
}

flow_entry* flow_records::recordLocal(
    const tracked_flow& flow, std::uint32_t flags, routing_view& view, timestamp now)
{
    flow_entry* const entry = record(m_local, flow, view, now);
    if (entry == nullptr)
        return nullptr;
    entry->set(flags);
    if (server_counters* const counters = m_counters.findServer(flow.service, flow.server))
        ++counters->openFlows;
    return entry;
}

flow_entry* flow_records::recordTracked(
    const tracked_flow& flow, std::uint32_t flags, routing_view& view, timestamp now)
{
    flow_entry* const entry = record(m_tracked, flow, view, now);
    if (entry != nullptr)
        entry->set(flags);
    return entry;
}

flow_entry* flow_records::record(
    flow_table& table, const tracked_flow& flow, routing_view& view, timestamp now)
{
    const bool isLocal = &table == &m_local;
    if (flow_entry* const existing = table.find(flow.flow, now)) {
        if (isLocal)
            decrementOpenFlows(*existing);
        table.erase(*existing);
    }
    const auto onErase = [&](flow_entry& entry) {
        if (isLocal)
            decrementOpenFlows(entry);
    };
    const auto isEvictable = [&](flow_entry& entry) {
        if (!isRecomputable(entry, view))
            return false;
        onErase(entry);
        markUnrecorded(entry.service, now);
        return true;
    };
    flow_entry* entry = table.insert(flow.flow, now, onErase);
    if (entry == nullptr && table.evictFor(flow.flow, isEvictable))
        entry = table.insert(flow.flow, now, onErase);
    if (entry == nullptr)
        return nullptr;
    entry->service = flow.service;
    entry->server = flow.server;
    return entry;
}

void flow_records::eraseLocal(flow_entry& entry)
{
    decrementOpenFlows(entry);
    m_local.erase(entry);
}

void flow_records::decrementOpenFlows(const flow_entry& entry)
{
    server_counters* const counters = m_counters.findServer(entry.service, entry.server);
    if (counters != nullptr && counters->openFlows > 0)
        --counters->openFlows;
}

void flow_records::addService(service_id service) { m_unrecordedUntil.try_emplace(service); }

void flow_records::markUnrecorded(service_id service, timestamp now)
{
    const auto found = m_unrecordedUntil.find(service);
    if (found != m_unrecordedUntil.end())
        found->second = now + m_idleTimeout;
}

bool flow_records::mayHaveUnrecorded(service_id service, timestamp now) const
{
    const auto found = m_unrecordedUntil.find(service);
    return found != m_unrecordedUntil.end() && now < found->second;
}

} // namespace shallotcove::core
