#include <shallotcove/steering/waiting_flows.hpp>

#include <algorithm>
#include <iterator>

namespace shallotcove::steering {

namespace {

    // Weight of a new service time in the mean: follows a change within some twenty flows.
    constexpr int serviceTimeWeight = 16;
    // Time for the caller to get a server's answer and acknowledge it.
    constexpr std::chrono::milliseconds openingTime { 30 };

} // namespace

waiting_flows::waiting_flows(core::duration firstServiceTime)
    : m_serviceTime(firstServiceTime)
{
}

void waiting_flows::add(const waiting_flow& flow) { m_flows.push_back(flow); }

void waiting_flows::remove(const flow_address& flow)
{
    std::erase_if(m_flows, [&](const waiting_flow& known) { return known.flow == flow; });
}

void waiting_flows::recordServiceTime(core::duration time)
{
    m_serviceTime += (time - m_serviceTime) / serviceTimeWeight;
}

std::vector<waiting_flow> waiting_flows::takeHopeless(core::timestamp now)
{
    std::vector<waiting_flow> hopeless;
    const auto first = std::stable_partition(
        m_flows.begin(), m_flows.end(), [&](const waiting_flow& flow) { return !isHopeless(flow, now); });
    std::move(first, m_flows.end(), std::back_inserter(hopeless));
    m_flows.erase(first, m_flows.end());
    return hopeless;
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
        [&](const waiting_flow& known) { return goesBefore(known, flow, now); }));
    const double rounds = static_cast<double>(ahead) / std::max(1.0, flowsAtOnce);
    const core::duration wait = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double> { m_serviceTime } * rounds);
    return !isHopeless(flow, now + wait);
}

bool waiting_flows::isHopeless(const waiting_flow& flow, core::timestamp startAt) const
{
    return startAt + openingTime >= flow.openUntil || startAt + m_serviceTime >= flow.expiresAt;
}

bool waiting_flows::isTimely(const waiting_flow& flow, core::timestamp now) const
{
    return now + m_serviceTime <= flow.goalAt;
}

bool waiting_flows::goesBefore(const waiting_flow& left, const waiting_flow& right, core::timestamp now) const
{
    const bool isLeftTimely = isTimely(left, now);
    if (isLeftTimely != isTimely(right, now))
        return isLeftTimely;
    if (left.priority != right.priority)
        return left.priority < right.priority;
    // Under a load that lasts, the oldest timely flow would always be answered just too late.
    return isLeftTimely ? left.arrivedAt > right.arrivedAt : left.arrivedAt < right.arrivedAt;
}

} // namespace shallotcove::steering
