#include <shallotcove/steering/steering_engine.hpp>

#include <cmath>
#include <utility>

namespace shallotcove::steering {

namespace {

    // Smaller changes of a limit are not reported.
    constexpr double reportedChange = 0.25;

} // namespace

flow_admission steering_engine::admissionOf(const std::string& service, const route& target,
    core::timestamp sentAt, bool isReservedPlace, core::timestamp now)
{
    if (hasLongFlows(service, now))
        return m_admissionPolicy.limitForFlow(service, target, now - sentAt, isReservedPlace, m_options, now);
    const bool isTimely = waitingFlowsOf(service).isTimely(sentAt + target.latencyGoal, now);
    return { isTimely ? admission_limit::Timely : admission_limit::Late, 1 };
}

void steering_engine::checkRejection(
    const server_record& server, const flow_record& record, core::timestamp now)
{
    const route* const target = findRoute(record.opening.flow);
    if (record.awaitsAnswer && record.hadRequest && target != nullptr
        && m_admissionPolicy.isRejection(server.entry.service, *target, now - record.requestForwardedAt,
            record.flowsPerSlotAtRequest, m_options, now))
        m_admissionPolicy.recordRejection(server.entry.service, now);
}

void steering_engine::reportFlowLimits(core::timestamp now)
{
    for (const auto& [service, last] : m_lastLongFlowRequest)
        m_reportedLimits.try_emplace(service, m_options.flowsPerSlot);
    // Includes services whose long flows have ended, so that their limits are reported as reset.
    for (auto& [service, reported] : m_reportedLimits) {
        const double limit = m_options.flowsPerSlot
            * (hasLongFlows(service, now) ? m_admissionPolicy.scaleInEffect(service, m_options, now) : 1.0);
        if (std::abs(limit - reported) < reportedChange)
            continue;
        reported = limit;
        steering_event event = eventOf(steering_event_kind::FlowLimitChanged, {}, nullptr, now);
        event.subject = service;
        event.flowsPerSlot = limit;
        addEvent(std::move(event));
    }
}

void steering_engine::recordWork(const server_record& server, const flow_record& record, core::timestamp now)
{
    if (const route* const target = findRoute(record.opening.flow))
        m_admissionPolicy.recordAnswer(server.entry.service, *target, now - record.requestForwardedAt,
            record.flowsPerSlotAtRequest, now);
}

} // namespace shallotcove::steering
