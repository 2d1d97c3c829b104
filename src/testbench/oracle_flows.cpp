// Predicates for the invariants about single flows and requests.
#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "oracle_exceptions.hpp"
#include "oracle_predicates.hpp"

namespace shallotcove::testbench {

namespace {

    std::string describe(std::uint32_t flow, std::uint32_t number, core::timestamp at)
    {
        return "flow " + std::to_string(flow) + ", packet " + std::to_string(number) + " at "
            + formatSeconds(at);
    }

    bool isBroken(const flow_record& flow)
    {
        return flow.isEstablished
            && (flow.end == flow_end::WrongServer || flow.end == flow_end::Reset
                || flow.end == flow_end::Lost);
    }

    /// Returns the service that an address belongs to just before a time: the last one created with that
    /// address.
    std::uint32_t serviceBefore(const run_history& history, std::uint32_t address, core::timestamp end)
    {
        std::uint32_t service {};
        for (const accepted_change& change : history.accepted)
            if (change.kind == accepted_kind::ServiceCreated && change.address == address && change.at < end)
                service = change.service;
        return service;
    }

    std::uint32_t serviceAt(const run_history& history, std::uint32_t address, core::timestamp at)
    {
        return serviceBefore(history, address, at + core::duration { 1 });
    }

    bool wasHostLeaving(const run_history& history, core::timestamp from, core::timestamp to)
    {
        return std::any_of(
            history.disturbances.begin(), history.disturbances.end(), [&](const disturbance& item) {
                return item.kind == disturbance_kind::HostLeft && item.from <= to
                    && (item.to.sinceStart == core::duration::max() || item.to + recoveryTime >= from);
            });
    }

} // namespace

/// I1. No established flow ends because a packet reached another server, by a reset, or by loss. Exceptions:
/// see isBreakAllowed().
violation checkEstablishedFlowsSurvive(const run_history& history)
{
    for (std::uint32_t number = 0; number < history.flows.size(); ++number) {
        const flow_record& flow = history.flows[number];
        if (!isBroken(flow) || isBreakAllowed(history, flow))
            continue;
        const char* const outcome = flow.end == flow_end::WrongServer ? "reached another server"
            : flow.end == flow_end::Reset                             ? "was reset"
                                                                      : "was lost";
        return "flow " + std::to_string(number) + " of service " + std::to_string(flow.service) + ", server "
            + std::to_string(flow.server) + ", established at " + formatSeconds(flow.established) + ", "
            + outcome + " at " + formatSeconds(flow.ended);
    }
    return {};
}

/// I2. A packet reaches only the service that its address belonged to when the flow was opened or when the
/// packet was forwarded. No exceptions.
violation checkNoPacketToWrongService(const run_history& history)
{
    for (const forwarded_packet& packet : history.forwarded) {
        const std::uint32_t address = history.flows[packet.flow].address;
        const core::timestamp opened = history.flows[packet.flow].opened;
        if (packet.service != serviceBefore(history, address, opened)
            && packet.service != serviceAt(history, address, packet.at))
            return describe(packet.flow, packet.number, packet.at) + " reached service "
                + std::to_string(packet.service) + ", its address belongs to "
                + std::to_string(serviceAt(history, address, packet.at));
    }
    return {};
}

/// I5. Each request of an established flow whose packets all reached the server is executed, and the caller
/// receives every part of the response. Exceptions: as for I1, and requests of the last 15 s of the run.
violation checkResponsesAreComplete(const run_history& history)
{
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<std::uint32_t>> parts;
    for (const response_part& response : history.responses)
        if (response.flow == response.requestFlow)
            parts[{ response.requestFlow, response.request }].insert(response.part);
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<std::uint32_t>> forwardedPackets;
    for (const forwarded_packet& packet : history.forwarded) {
        flow_record flow = history.flows[packet.flow];
        if (!flow.isEstablished || packet.number == 0
            || packet.at > history.end - std::chrono::seconds { 15 })
            continue;
        const std::uint32_t request = (packet.number - 1) / packetsPerRequest;
        forwardedPackets[{ packet.flow, request }].insert(packet.number);
    }
    for (const auto& [request, packets] : forwardedPackets) {
        flow_record flow = history.flows[request.first];
        const bool isUnbroken = flow.end == flow_end::Open || flow.end == flow_end::Closed;
        const bool isComplete = parts[request].size() == partsPerResponse;
        // Responses to a flow that its caller closed early are not delivered, and a lost packet is
        // retransmitted.
        if (packets.size() < packetsPerRequest || isComplete
            || (!isUnbroken && isBreakAllowed(history, flow)))
            continue;
        flow.ended = std::min(flow.ended, history.end);
        if (!isBreakAllowed(history, flow))
            return "request " + std::to_string(request.second) + " of flow " + std::to_string(request.first)
                + " got " + std::to_string(parts[request].size()) + " of " + std::to_string(partsPerResponse)
                + " parts of its answer";
    }
    return {};
}

/// I6. If a refusal tells the caller that its requests were not executed, no packet of the flow was forwarded
/// before and none of its requests is executed at any time. No exceptions.
violation checkRefusalsAreTruthful(const run_history& history)
{
    std::map<std::uint32_t, core::timestamp> firstForwarded;
    for (const forwarded_packet& packet : history.forwarded)
        firstForwarded.emplace(packet.flow, packet.at);
    std::set<std::uint32_t> executed;
    for (const execution& run : history.executions)
        executed.insert(run.flow);
    for (const refused_packet& refusal : history.refused) {
        if (!refusal.reportsNotExecuted)
            continue;
        const auto first = firstForwarded.find(refusal.flow);
        if (first != firstForwarded.end() && first->second <= refusal.at)
            return describe(refusal.flow, refusal.number, refusal.at)
                + " was refused as not run, but was forwarded at " + formatSeconds(first->second);
        if (executed.contains(refusal.flow))
            return describe(refusal.flow, refusal.number, refusal.at) + " was refused as not run, but ran";
    }
    return {};
}

/// I7. Each transmission of a packet is forwarded at most once, and a hold is executed at most once. No
/// exceptions.
violation checkExecutedAtMostOnce(const run_history& history)
{
    std::set<std::uint32_t> copies;
    for (const forwarded_packet& packet : history.forwarded)
        if (!copies.insert(packet.receivedIndex).second)
            return describe(packet.flow, packet.number, packet.at) + " was forwarded twice";
    std::set<std::uint32_t> holds;
    for (const execution& run : history.executions)
        if (run.request == 0 && !holds.insert(history.flows[run.flow].hold).second)
            return "hold " + std::to_string(history.flows[run.flow].hold) + " ran again at "
                + formatSeconds(run.at);
    return {};
}

/// I9. No flow that was open while a host left, or within the recovery time after, breaks and leaves a
/// request unanswered. Exceptions: as for I1.
violation checkGracefulShutdownInterruptsNoRequest(const run_history& history)
{
    for (std::uint32_t number = 0; number < history.flows.size(); ++number) {
        const flow_record& flow = history.flows[number];
        if (isBroken(flow) && wasHostLeaving(history, flow.established, flow.ended)
            && !isBreakAllowed(history, flow))
            return "flow " + std::to_string(number) + " was cut at " + formatSeconds(flow.ended)
                + " while a host left";
    }
    return {};
}

} // namespace shallotcove::testbench
