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

void flow_ledger::erase(const flow_address& flow) { m_flows.erase(flow); }

void flow_ledger::expire(
    core::timestamp now, core::duration memoryOfEnded, const released_handler& handleReleased)
{
    std::erase_if(m_flows, [&](const auto& known) {
        const flow_record& record = known.second;
        const core::duration silence = now - record.lastPacketAt;
        if (record.state == flow_state::Ended)
            return silence >= memoryOfEnded;
        if (silence < record.idleLimit)
            return false;
        handleReleased(record);
        return true;
    });
}

} // namespace shallotcove::steering
