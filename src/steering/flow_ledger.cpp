#include <shallotcove/steering/flow_ledger.hpp>

namespace shallotcove::steering {

flow_ledger::flow_ledger(std::size_t capacity)
    : m_capacity(capacity)
{
}

flow_record* flow_ledger::add(const flow_address& flow)
{
    if (m_flows.size() >= m_capacity && !m_flows.contains(flow))
        return nullptr;
    flow_record& record = m_flows[flow];
    record = {};
    return &record;
}

flow_record* flow_ledger::find(const flow_address& flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

void flow_ledger::forEach(const record_handler& handle)
{
    for (auto& [flow, record] : m_flows)
        handle(record);
}

void flow_ledger::erase(const flow_address& flow) { m_flows.erase(flow); }

void flow_ledger::expire(
    core::timestamp now, core::duration memoryOfEnded, const record_handler& handleReleased)
{
    for (auto known = m_flows.begin(); known != m_flows.end();) {
        flow_record& record = known->second;
        const core::duration silence = now - record.lastPacketAt;
        const bool isEnded = record.state == flow_state::Ended;
        if (silence < (isEnded ? memoryOfEnded : record.idleLimit)) {
            ++known;
            continue;
        }
        if (!isEnded)
            handleReleased(record);
        known = m_flows.erase(known);
    }
}

} // namespace shallotcove::steering
