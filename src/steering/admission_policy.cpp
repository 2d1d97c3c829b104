#include <shallotcove/steering/admission_policy.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

#include <shallotcove/steering/route.hpp>
#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

namespace {

    // Time for the caller to receive a server's answer and acknowledge it.
    constexpr std::chrono::milliseconds openingTime { 30 };
    // Time that remains unused: a caller that was refused once comes back 41 ms later from a new port, so
    // that this host takes its flow for a new one.
    constexpr std::chrono::milliseconds timeMargin { 40 };
    // Flows whose goal is too short for a queue at a server may wait for one in this number of the time that
    // opening and work leave: servers are often less full than they may be.
    constexpr int minimumWaitDivisor = 4;
    // Requests on open flows are held for at most one in this number of the time that their work leaves. The
    // queue of the server, where they go in any case, needs the rest.
    constexpr int holdDivisor = 4;
    // Of the requests that occupy the slots of a server, half of the work is done on average.
    constexpr double workInProgress = 0.5;
    // Places per slot that are left to each higher priority: one place of a server with two slots.
    constexpr double placesPerPriority = 0.5;
    // Flows of a priority are expected for this long after the last one.
    constexpr std::chrono::seconds priorityLifetime { 1 };
    // Weight of a higher limit of another route of the same priority is one in this number.
    constexpr double limitWeight = 16;
    // With these steps the limits settle where about one of 200 requests is rejected.
    constexpr double reductionPerRejection = 0.25;
    constexpr double reductionPerAnswer = 0.00125;
    constexpr double maximumReduction = 2;
    // A reduction that only answers take back would last long after an overload of a service with few
    // requests.
    constexpr std::chrono::seconds reductionHalfLife { 4 };
    constexpr std::size_t maximumServices = 1024;
    constexpr std::size_t maximumPriorities = 16;
    // A request that came back in less than one in this number of the time that the requests ahead of it take
    // was rejected by its server. Counted as work, it would raise the limits of a server that is too full.
    constexpr int rejectionDivisor = 4;
    constexpr core::duration minimumWork { std::chrono::milliseconds { 1 } };

    /// Whether the time is too short for the work of a request. The queue ahead may have been overestimated,
    /// so that being faster than it is no proof of a rejection.
    bool isBelowOwnWork(core::duration time, core::duration work)
    {
        return time < work / rejectionDivisor + openingTime;
    }

} // namespace

void admission_policy::recordAnswer(const std::string& service, const route& target, core::duration time,
    double flowsPerSlot, core::timestamp now)
{
    // Requests of all routes queue together, so that the measured time is shared among the requests that a
    // slot worked on meanwhile. What exceeds the time of the requests ahead is the work of this one.
    const double rounds = std::max(1.0, flowsPerSlot);
    const std::optional<work_estimate> others = m_serviceWork.find(service, now);
    const core::duration ahead = others
        ? std::chrono::duration_cast<core::duration>(others->mean * (rounds - 1))
        : core::duration {};
    if (time < ahead / rejectionDivisor) {
        const std::optional<work_estimate> own = m_routeWork.find(target.at, now);
        if (isBelowOwnWork(time, own ? own->mean : others->mean))
            recordRejection(service, now);
        return;
    }
    if (const auto found = m_reductions.find(service); found != m_reductions.end()) {
        found->second = { reductionOf(service, now) - reductionPerAnswer, now };
        if (found->second.flowsPerSlot <= 0)
            m_reductions.erase(found);
    }
    const core::duration shared
        = std::max(minimumWork, std::chrono::duration_cast<core::duration>(time / rounds));
    m_serviceWork.record(service, shared, now);
    m_routeWork.record(
        target.at, others ? std::clamp(time - ahead, shared / 2, std::max(time, minimumWork)) : shared, now);
}

void admission_policy::recordRejection(const std::string& service, core::timestamp now)
{
    if (m_reductions.size() >= maximumServices && !m_reductions.contains(service))
        m_reductions.clear();
    m_reductions[service]
        = { std::min(maximumReduction, reductionOf(service, now) + reductionPerRejection), now };
}

bool admission_policy::isRejection(const std::string& service, const route& target, core::duration time,
    double flowsPerSlot, const steering_options& options, core::timestamp now) const
{
    return time * rejectionDivisor < workOfService(service, options, now) * std::max(1.0, flowsPerSlot - 1)
        && isBelowOwnWork(time, workOf(service, target, options, now));
}

double admission_policy::reductionOf(const std::string& service, core::timestamp now) const
{
    const auto found = m_reductions.find(service);
    if (found == m_reductions.end())
        return 0;
    const std::chrono::duration<double> age = now - found->second.changedAt;
    return found->second.flowsPerSlot * std::exp2(-(age / reductionHalfLife));
}

double admission_policy::ceilingOf(
    const std::string& service, const steering_options& options, core::timestamp now) const
{
    return std::max(options.flowsPerSlot, options.maximumFlowsPerSlot - reductionOf(service, now));
}

core::duration admission_policy::ownLatestStartAge(const std::string& service, const route& target,
    const steering_options& options, core::timestamp now) const
{
    const double ahead = options.flowsPerSlot * scaleInEffect(service, options, now) - workInProgress;
    const core::duration slack = target.latencyGoal - openingTime - workOf(service, target, options, now);
    const core::duration queueing = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double> { workOfService(service, options, now) } * ahead);
    return std::max(slack - timeMargin - queueing, slack / minimumWaitDivisor);
}

core::duration admission_policy::latestStartAge(const std::string& service, const route& target,
    const steering_options& options, core::timestamp now) const
{
    core::duration age = ownLatestStartAge(service, target, options, now);
    const auto priorities = m_priorities.find(service);
    if (priorities == m_priorities.end())
        return age;
    for (const auto& [priority, known] : priorities->second) {
        // Flows of a priority whose goal is shorter than opening and work are late in any case.
        if (priority < target.priority && now - known.lastFlowAt < priorityLifetime
            && known.latestStartAge > core::duration::zero())
            age = std::min(age, known.latestStartAge);
    }
    return age;
}

void admission_policy::recordFlow(
    const std::string& service, const route& target, const steering_options& options, core::timestamp now)
{
    if (m_priorities.size() >= maximumServices && !m_priorities.contains(service))
        m_priorities.clear();
    std::map<std::uint32_t, priority_limit>& priorities = m_priorities[service];
    std::erase_if(
        priorities, [now](const auto& entry) { return now - entry.second.lastFlowAt >= priorityLifetime; });
    if (priorities.size() >= maximumPriorities && !priorities.contains(target.priority))
        return;
    const double limit
        = timelyFlowsPerSlot(service, target, target.latencyGoal - openingTime - timeMargin, options, now);
    const auto [entry, isNew] = priorities.try_emplace(target.priority, priority_limit { now, limit, {} });
    priority_limit& known = entry->second;
    known.lastFlowAt = now;
    known.latestStartAge = ownLatestStartAge(service, target, options, now);
    known.flowsPerSlot = std::min(limit, known.flowsPerSlot + (limit - known.flowsPerSlot) / limitWeight);
}

core::duration admission_policy::workOfService(
    const std::string& service, const steering_options& options, core::timestamp now) const
{
    const std::optional<work_estimate> learned = m_serviceWork.find(service, now);
    return learned ? learned->mean : options.firstServiceTime;
}

core::duration admission_policy::workOf(const std::string& service, const route& target,
    const steering_options& options, core::timestamp now) const
{
    const std::optional<work_estimate> learned = m_routeWork.find(target.at, now);
    return learned ? learned->mean : workOfService(service, options, now);
}

double admission_policy::relativeWork(const std::string& service, const route& target,
    const steering_options& options, core::timestamp now) const
{
    const std::chrono::duration<double> ofService = workOfService(service, options, now);
    return workOf(service, target, options, now) / ofService;
}

bool admission_policy::isTimely(const std::string& service, const route& target, core::duration age,
    const steering_options& options, core::timestamp now) const
{
    return age + openingTime + workOf(service, target, options, now) <= target.latencyGoal;
}

double admission_policy::timelyFlowsPerSlot(const std::string& service, const route& target,
    core::duration timeLeft, const steering_options& options, core::timestamp now) const
{
    const core::duration work = workOf(service, target, options, now);
    const std::chrono::duration<double> queueing = timeLeft - work;
    const std::chrono::duration<double> workAhead = workOfService(service, options, now);
    return std::clamp(
        workInProgress + queueing / workAhead, options.flowsPerSlot, ceilingOf(service, options, now));
}

double admission_policy::withinPriority(const std::string& service, const route& target, double flowsPerSlot,
    const steering_options& options, core::timestamp now) const
{
    const auto priorities = m_priorities.find(service);
    if (priorities == m_priorities.end())
        return flowsPerSlot;
    double limit = flowsPerSlot;
    int higher = 0;
    for (const auto& [priority, known] : priorities->second) {
        if (priority >= target.priority)
            break;
        if (now - known.lastFlowAt >= priorityLifetime)
            continue;
        ++higher;
        limit = std::min(limit, known.flowsPerSlot);
    }
    return std::max(options.flowsPerSlot, limit - placesPerPriority * higher);
}

flow_admission admission_policy::limitForFlow(const std::string& service, const route& target,
    core::duration age, bool isReservedPlace, const steering_options& options, core::timestamp now) const
{
    if (!isTimely(service, target, age, options, now))
        return { admission_limit::Late, 1 };
    const double timely = timelyFlowsPerSlot(
        service, target, target.latencyGoal - age - openingTime - timeMargin, options, now);
    const double limit = isReservedPlace ? timely : withinPriority(service, target, timely, options, now);
    return { admission_limit::Timely, limit / options.flowsPerSlot };
}

core::duration admission_policy::longestHold(const std::string& service, const route& target,
    const steering_options& options, core::timestamp now) const
{
    const core::duration slack = target.latencyGoal - workOf(service, target, options, now);
    return std::max(core::duration::zero(), slack / holdDivisor);
}

double admission_policy::limitForRequest(const std::string& service, const route& target,
    const steering_options& options, core::timestamp now) const
{
    return withinPriority(
        service, target, timelyFlowsPerSlot(service, target, target.latencyGoal, options, now), options, now);
}

double admission_policy::scaleInEffect(
    const std::string& service, const steering_options& options, core::timestamp now) const
{
    const auto priorities = m_priorities.find(service);
    if (priorities == m_priorities.end())
        return 1;
    for (const auto& [priority, known] : priorities->second) {
        if (now - known.lastFlowAt < priorityLifetime)
            return known.flowsPerSlot / options.flowsPerSlot;
    }
    return 1;
}

} // namespace shallotcove::steering
