#include <shallotcove/steering/tracked_flows.hpp>

namespace shallotcove::steering {

tracked_flows::tracked_flows(std::size_t capacity)
    : m_capacity(capacity)
{
}

flow_record* tracked_flows::add(const flow_address& flow)
{
    if (m_flows.size() >= m_capacity && !m_flows.contains(flow))
        return nullptr;
    flow_record& record = m_flows[flow];
    record = {};
    return &record;
}

flow_record* tracked_flows::find(const flow_address& flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

void tracked_flows::forEach(const record_handler& handle)
{
    for (auto& [flow, record] : m_flows)
        handle(record);
}

void tracked_flows::erase(const flow_address& flow) { m_flows.erase(flow); }

void tracked_flows::expire(
    core::timestamp now, core::duration endedFlowRetention, const record_handler& handleExpired)
{
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        flow_record& record = entry->second;
        const core::duration idleTime = now - record.lastPacketAt;
        const bool isEnded = record.state == flow_state::Ended;
        if (idleTime < (isEnded ? endedFlowRetention : record.idleTimeout)) {
            ++entry;
            continue;
        }
        if (!isEnded)
            handleExpired(record);
        entry = m_flows.erase(entry);
    }
}

} // namespace shallotcove::steering
