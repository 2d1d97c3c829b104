#include "fuzz_traffic.hpp"

namespace shallotcove::testbench {

core::socket_address fuzz_traffic::serviceAddress(std::uint32_t number)
{
    return { core::ip_address::fromV4(0xc0000201 + number), 443 };
}

std::uint32_t fuzz_traffic::addFlow(std::uint32_t address, std::uint32_t pair, core::timestamp now)
{
    const std::uint32_t flow = std::uint32_t(m_history.flows.size());
    flow_record record;
    record.opened = now;
    record.address = address;
    record.hold = m_holdCount++;
    m_history.flows.push_back(record);
    m_callers.push_back({ .pair = pair, .requests = 1 + m_random(4), .parts = {} });
    m_flowOfPair[pair] = flow;
    return flow;
}

std::uint32_t fuzz_traffic::openFlow(std::uint32_t address, core::timestamp now)
{
    m_flowOfPair.push_back(0);
    return addFlow(address, std::uint32_t(m_flowOfPair.size() - 1), now);
}

std::optional<std::uint32_t> fuzz_traffic::reopenFlow(std::uint32_t address, core::timestamp now)
{
    if (m_closedFlows.empty())
        return std::nullopt;
    const std::uint32_t previous = m_closedFlows.back();
    m_closedFlows.pop_back();
    return m_history.flows[previous].address == address
        ? std::optional(addFlow(address, m_callers[previous].pair, now))
        : std::nullopt;
}

core::packet_summary fuzz_traffic::packet(std::uint32_t flow, std::uint32_t number) const
{
    const caller_state& caller = m_callers[flow];
    core::packet_summary packet;
    packet.key = { { core::ip_address::fromV4(0x0a000000 + caller.pair / 16384),
                       std::uint16_t(40000 + caller.pair % 16384) },
        serviceAddress(m_history.flows[flow].address), core::transport::Tcp };
    packet.isFirst = number == 0;
    packet.isFinal = number == caller.requests * packetsPerRequest + 1;
    packet.bytes = 200;
    return packet;
}

bool fuzz_traffic::isUnacknowledged(std::uint32_t flow, std::uint32_t number) const
{
    return m_history.flows[flow].end == flow_end::Open && m_callers[flow].acknowledged <= number;
}

void fuzz_traffic::endFlow(std::uint32_t flow, flow_end end, core::timestamp now)
{
    m_history.flows[flow].end = end;
    m_history.flows[flow].ended = now;
}

std::vector<response_in_flight> fuzz_traffic::deliver(
    std::uint32_t flowNumber, std::uint32_t packetNumber, const fuzz_server& at, core::timestamp now)
{
    flow_record& flow = m_history.flows[flowNumber];
    caller_state& caller = m_callers[flowNumber];
    if (!at.isAlive || flow.end != flow_end::Open)
        return {};
    // One in 50 acknowledgements of a first packet is lost, so that the caller retransmits it.
    if (packetNumber == 0 && !flow.isEstablished && m_random(50) != 0) {
        flow.isEstablished = true;
        flow.established = now;
        flow.service = at.service;
        flow.server = at.server;
        caller.acknowledged = 1;
    }
    if (packetNumber == 0)
        return {};
    if (flow.service != at.service || flow.server != at.server) {
        endFlow(flowNumber, flow_end::WrongServer, now);
        return {};
    }
    if (packetNumber != caller.acknowledged)
        return {};
    caller.acknowledged = packetNumber + 1;
    if (packetNumber == caller.requests * packetsPerRequest + 1) {
        endFlow(flowNumber, flow_end::Closed, now);
        m_closedFlows.push_back(flowNumber);
        return {};
    }
    const std::uint32_t request = (packetNumber - 1) / packetsPerRequest;
    if (packetNumber % packetsPerRequest != 0 || !m_executedRequests.emplace(flowNumber, request).second)
        return {};
    m_history.executions.push_back({ now, flowNumber, request, at.service, at.server });
    caller.parts.clear();
    std::vector<response_in_flight> responses;
    for (std::uint32_t part = 0; part < partsPerResponse; ++part)
        responses.push_back({ caller.pair, flowNumber, request, part });
    return responses;
}

void fuzz_traffic::deliver(const response_in_flight& response, core::timestamp now)
{
    const std::uint32_t flow = m_flowOfPair[response.pair];
    m_history.responses.push_back({ now, flow, response.flow, response.request, response.part });
    if (flow == response.flow)
        m_callers[flow].parts.insert(response.part);
}

std::optional<std::uint32_t> fuzz_traffic::refuse(
    std::uint32_t flowNumber, std::uint32_t packetNumber, core::refusal_reason reason, core::timestamp now)
{
    flow_record& flow = m_history.flows[flowNumber];
    // Callers ignore a reset in response to a first packet once the flow is established, because it is
    // outside the TCP window.
    if (flow.end != flow_end::Open || (packetNumber == 0 && flow.isEstablished))
        return std::nullopt;
    // A refusal because a data centre is out does not tell whether a request was executed.
    const bool reportsNotExecuted = !flow.isEstablished && reason != core::refusal_reason::DataCentreOut;
    m_history.refused.push_back({ now, flowNumber, packetNumber, reportsNotExecuted });
    if (flow.isEstablished) {
        endFlow(flowNumber, flow_end::Reset, now);
        return std::nullopt;
    }
    endFlow(flowNumber, flow_end::Refused, now);
    if (!reportsNotExecuted)
        return std::nullopt;
    const std::uint32_t hold = flow.hold;
    const std::uint32_t retry = openFlow(flow.address, now);
    m_history.flows[retry].hold = hold;
    return retry;
}

void fuzz_traffic::abandon(std::uint32_t flow, core::timestamp now)
{
    if (m_history.flows[flow].end == flow_end::Open)
        endFlow(flow, m_history.flows[flow].isEstablished ? flow_end::Lost : flow_end::Unanswered, now);
}

std::optional<scheduled_packet> fuzz_traffic::takeNextPacket(std::uint32_t flow)
{
    caller_state& caller = m_callers[flow];
    if (m_history.flows[flow].end != flow_end::Open || caller.acknowledged != caller.next)
        return std::nullopt;
    const bool needsResponse = caller.next > 1 && caller.next % packetsPerRequest == 1;
    if (needsResponse && caller.parts.size() < partsPerResponse)
        return std::nullopt;
    // Pauses of up to 100 ms within a request and up to 3 s between requests.
    const std::uint32_t longest = caller.next % packetsPerRequest == 0 ? 100 : 3000;
    return scheduled_packet { caller.next++, std::chrono::milliseconds { 1 + m_random(longest) } };
}

} // namespace shallotcove::testbench
