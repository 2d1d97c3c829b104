#include <shallotcove/steering/waiting_flows.hpp>

#include <algorithm>
#include <bit>
#include <iterator>

namespace shallotcove::steering {

namespace {

    // Weight of a new service time in the mean is one in this number, so that the mean follows a change
    // within about twenty flows.
    constexpr int serviceTimeWeight = 16;
    // Window over which late starts are counted, about ten service times.
    constexpr std::chrono::milliseconds rateWindow { 500 };
    // As a backlog shrinks, more servers become available to late flows, so this multiple of the measured
    // rate is assumed.
    constexpr double rateMargin = 3;
    // Load counts as sustained once flows have waited for this long. A backlog that is worked off within the
    // time that callers wait for a flow to open does not.
    constexpr std::chrono::milliseconds sustainedLoad { 1400 };
    // Lower bound of the assumed rate: one start in two seconds, which is longer than any caller waits for a
    // flow to open.
    constexpr double minimumStartsPerSecond = 0.5;
    // Time for the caller to receive a server's answer and acknowledge it.
    constexpr std::chrono::milliseconds openingTime { 30 };

    // The lower priorities cannot save up more starts than this.
    constexpr double maximumReservedStarts = 2;

    // Flows are ordered by powers of two of their work: smaller differences are noise of the measurement.
    int workClass(const waiting_flow& flow)
    {
        return std::bit_width(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(flow.work).count()));
    }

} // namespace

waiting_flows::waiting_flows(core::duration firstServiceTime, double lowPriorityShare)
    : m_serviceTime(firstServiceTime)
    , m_lowPriorityShare(lowPriorityShare)
{
}

void waiting_flows::add(const waiting_flow& flow) { m_flows.push_back(flow); }

void waiting_flows::remove(const flow_address& flow)
{
    std::erase_if(m_flows, [&](const waiting_flow& other) { return other.flow == flow; });
}

void waiting_flows::recordServiceTime(core::duration time)
{
    m_serviceTime += (time - m_serviceTime) / serviceTimeWeight;
}

void waiting_flows::recordStart(const waiting_flow& flow, core::timestamp now)
{
    m_starts[flow.priority] += 1;
    m_lateStarts += isTimely(flow.goalAt, now) ? 0 : 1;
    if (flow.hasReservedPlace)
        m_reservedStarts -= 1;
    else if (flow.work > core::duration::zero() && hasLowerPriority(flow.priority))
        m_reservedStarts = std::min(
            maximumReservedStarts, m_reservedStarts + m_lowPriorityShare / (1 - m_lowPriorityShare));
}

void waiting_flows::measure(core::timestamp now)
{
    if (m_flows.empty()) {
        m_windowStart.reset();
        m_waitingSince.reset();
        m_startsPerSecond.reset();
        m_starts.clear();
        m_lateStartsPerSecond.reset();
        return;
    }
    if (!m_waitingSince)
        m_waitingSince = now;
    if (m_windowStart && now - *m_windowStart < rateWindow)
        return;
    if (m_windowStart) {
        const double seconds = std::chrono::duration<double> { now - *m_windowStart }.count();
        m_startsPerSecond = m_starts;
        for (auto& [priority, starts] : *m_startsPerSecond)
            starts /= seconds;
        m_lateStartsPerSecond = m_lateStarts / seconds;
    }
    m_windowStart = now;
    m_starts.clear();
    m_lateStarts = 0;
}

void waiting_flows::dropBeyondLateRate(
    std::vector<waiting_flow>& unservable, double flowsAtOnce, core::timestamp now)
{
    if (!m_lateStartsPerSecond || now - *m_waitingSince < sustainedLoad)
        return;
    std::sort(m_flows.begin(), m_flows.end(),
        [&](const waiting_flow& left, const waiting_flow& right) { return goesBefore(left, right, now); });
    std::vector<waiting_flow> kept;
    std::vector<waiting_flow> late;
    // Flows that are timely now but would be late when they start count as late.
    const core::duration perStart = timePerStart(flowsAtOnce);
    core::timestamp expectedStart = now;
    for (const waiting_flow& flow : m_flows) {
        const bool isKept = isTimely(flow, flow.work > core::duration::zero() ? now : expectedStart);
        (isKept ? kept : late).push_back(flow);
        expectedStart = isKept ? expectedStart + perStart : expectedStart;
    }
    std::size_t keptLate = 0;
    for (const waiting_flow& flow : late) {
        const double ahead = static_cast<double>(keptLate + 1);
        const double seconds = ahead / std::max(rateMargin * *m_lateStartsPerSecond, minimumStartsPerSecond);
        const core::duration wait
            = std::chrono::duration_cast<core::duration>(std::chrono::duration<double> { seconds });
        const bool isTooLate = isUnservable(flow, now + wait);
        (isTooLate ? unservable : kept).push_back(flow);
        keptLate += isTooLate ? 0 : 1;
    }
    m_flows = std::move(kept);
}

core::duration waiting_flows::expectedWait(
    const waiting_flow& flow, std::size_t ahead, double flowsAtOnce) const
{
    if (!m_startsPerSecond)
        return timePerStart(flowsAtOnce) * (ahead + 1);
    const auto measured = m_startsPerSecond->find(flow.priority);
    const double rate
        = std::max(measured == m_startsPerSecond->end() ? 0.0 : measured->second, minimumStartsPerSecond);
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double> { static_cast<double>(ahead + 1) / rate });
}

std::vector<waiting_flow> waiting_flows::takeUntimely(double flowsAtOnce, core::timestamp now)
{
    if (!isForLongFlows())
        return {};
    std::vector<waiting_flow> untimely;
    std::sort(m_flows.begin(), m_flows.end(),
        [&](const waiting_flow& left, const waiting_flow& right) { return goesBefore(left, right, now); });
    std::map<std::uint32_t, std::size_t> ahead;
    std::vector<waiting_flow> kept;
    for (const waiting_flow& flow : m_flows) {
        std::size_t& before = ahead[flow.priority];
        // The first flow of each priority waits for as long as it can, so that the reserved share finds one.
        const core::duration wait
            = before == 0 ? core::duration::zero() : expectedWait(flow, before, flowsAtOnce);
        const bool isRefused
            = flow.work > core::duration::zero() && isTimely(flow, now) && now + wait > flow.startBy;
        (isRefused ? untimely : kept).push_back(flow);
        before += isRefused ? 0 : 1;
    }
    m_flows = std::move(kept);
    return untimely;
}

std::vector<waiting_flow> waiting_flows::takeUnservable(double flowsAtOnce, core::timestamp now)
{
    measure(now);
    std::vector<waiting_flow> unservable;
    const auto first = std::stable_partition(
        m_flows.begin(), m_flows.end(), [&](const waiting_flow& flow) { return !isUnservable(flow, now); });
    std::move(first, m_flows.end(), std::back_inserter(unservable));
    m_flows.erase(first, m_flows.end());
    dropBeyondLateRate(unservable, flowsAtOnce, now);
    return unservable;
}

std::optional<waiting_flow> waiting_flows::next(core::timestamp now) const
{
    const auto first = std::min_element(m_flows.begin(), m_flows.end(),
        [&](const waiting_flow& left, const waiting_flow& right) { return goesBefore(left, right, now); });
    return first == m_flows.end() ? std::nullopt : std::optional(*first);
}

bool waiting_flows::canServe(const waiting_flow& flow, double flowsAtOnce, core::timestamp now) const
{
    const std::size_t ahead = static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(),
        [&](const waiting_flow& other) { return goesBefore(other, flow, now); }));
    const double rounds = static_cast<double>(ahead) / std::max(1.0, flowsAtOnce);
    const core::duration wait = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double> { m_serviceTime } * rounds);
    return !isUnservable(flow, now + wait);
}

bool waiting_flows::isUnservable(const waiting_flow& flow, core::timestamp startAt) const
{
    return startAt + openingTime >= flow.openingDeadline || startAt + m_serviceTime >= flow.expiresAt;
}

bool waiting_flows::isTimely(core::timestamp goalAt, core::timestamp now) const
{
    return now + m_serviceTime <= goalAt;
}

bool waiting_flows::isTimely(const waiting_flow& flow, core::timestamp startAt) const
{
    // The service time includes the queues at the servers, which get shorter for flows that have less time.
    return flow.work > core::duration::zero() ? startAt + openingTime + flow.work <= flow.goalAt
                                              : isTimely(flow.goalAt, startAt);
}

bool waiting_flows::isForLongFlows() const
{
    return std::any_of(m_flows.begin(), m_flows.end(),
        [](const waiting_flow& flow) { return flow.work > core::duration::zero(); });
}

bool waiting_flows::hasLowerPriority(std::uint32_t priority) const
{
    return std::any_of(m_flows.begin(), m_flows.end(),
        [priority](const waiting_flow& flow) { return flow.priority > priority; });
}

core::duration waiting_flows::timePerStart(double flowsAtOnce) const
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double> { m_serviceTime } / std::max(1.0, flowsAtOnce));
}

std::optional<waiting_flow> waiting_flows::nextReserved(core::timestamp now) const
{
    const std::optional<waiting_flow> first = next(now);
    if (!first || m_reservedStarts < 1)
        return std::nullopt;
    std::optional<waiting_flow> found;
    for (const waiting_flow& flow : m_flows) {
        if (flow.work > core::duration::zero() && flow.priority > first->priority && isTimely(flow, now)
            && (!found || goesBefore(flow, *found, now)))
            found = flow;
    }
    if (found)
        found->hasReservedPlace = true;
    return found;
}

bool waiting_flows::goesBefore(const waiting_flow& left, const waiting_flow& right, core::timestamp now) const
{
    const bool isLeftTimely = isTimely(left, now);
    if (isLeftTimely != isTimely(right, now))
        return isLeftTimely;
    if (left.priority != right.priority)
        return left.priority < right.priority;
    if (workClass(left) != workClass(right))
        return workClass(left) < workClass(right);
    // With the oldest first, under sustained load every timely flow would be answered just too late.
    return isLeftTimely ? left.arrivedAt > right.arrivedAt : left.arrivedAt < right.arrivedAt;
}

} // namespace shallotcove::steering
