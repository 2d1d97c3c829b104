#include <shallotcove/steering/neighbour_history.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

#include <shallotcove/steering/server_directory.hpp>

namespace shallotcove::steering {

namespace {

    // Averaging time of the mean of a neighbour's reports: several intervals of 50 ms, and several service
    // times.
    constexpr std::chrono::duration<double> meanTime { 0.5 };
    // A server that a neighbour no longer reports is forgotten once the mean falls below this number of
    // flows.
    constexpr double negligibleMean = 0.05;

    bool isBefore(const server_load& left, const server_load& right) { return left.server < right.server; }

} // namespace

neighbour_history::neighbour_history(core::duration lifetime)
    : m_lifetime(lifetime)
{
}

void neighbour_history::apply(
    std::uint32_t host, const load_report& loads, server_directory& servers, core::timestamp now)
{
    const auto [found, isNew] = m_hosts.try_emplace(host);
    host_history& history = found->second;
    load_report sorted = loads;
    std::sort(sorted.begin(), sorted.end(), isBefore);
    const std::chrono::duration<double> interval = now - history.receivedAt;
    const double step = 1 - std::exp(-interval / meanTime);
    std::vector<contribution> renewed;
    renewed.reserve(std::max(sorted.size(), history.contributions.size()));
    auto former = history.contributions.begin();
    auto load = sorted.begin();
    while (former != history.contributions.end() || load != sorted.end()) {
        const bool isReported = load != sorted.end()
            && (former == history.contributions.end() || !(former->reported.server < load->server));
        const bool wasReported = former != history.contributions.end()
            && (load == sorted.end() || !(load->server < former->reported.server));
        const server_load current = isReported ? *load++ : server_load { former->reported.server, 0 };
        contribution next { current, 0, 0, 0, false };
        server_record* const record = servers.find(current.server);
        if (wasReported) {
            next.mean = former->mean;
            subtract(*former++, record);
        }
        if (record == nullptr)
            continue;
        server_capacity& capacity = record->capacity;
        const bool isAged = capacity.isEstimated;
        // Without a service with long flows there is nothing to keep.
        if (!isAged && current.establishedFlows == 0)
            continue;
        record->neighbourEstablishedFlows += current.establishedFlows;
        if (isAged) {
            capacity.speed.addReport(current.slownessTenths);
            // Nothing is known of the time before the first report, so it is taken as the mean.
            const bool isFirst = isNew || history.receivedAt <= capacity.estimatedSince;
            next.mean += (current.openFlows - next.mean) * (isFirst ? 1 : step);
            next.difference = current.openFlows - next.mean;
            refreshNeighbourFlows(*record, now);
            next.ageWhenAdded = capacity.neighbourLoad.age();
            next.isAged = true;
            capacity.neighbourLoad.add(next.mean, next.difference);
        }
        if (isReported || next.mean >= negligibleMean)
            renewed.push_back(next);
        else
            subtract(next, record);
        if (isAged)
            refreshNeighbourFlows(*record, now);
    }
    history.contributions = std::move(renewed);
    history.receivedAt = now;
}

void neighbour_history::expire(server_directory& servers, core::timestamp now)
{
    std::erase_if(m_hosts, [&](const auto& item) {
        if (now - item.second.receivedAt < m_lifetime)
            return false;
        for (const contribution& entry : item.second.contributions)
            subtract(entry, servers.find(entry.reported.server));
        return true;
    });
}

std::size_t neighbour_history::size() const
{
    std::size_t result = 0;
    for (const auto& [host, history] : m_hosts)
        result += history.contributions.size();
    return result;
}

void neighbour_history::subtract(const contribution& entry, server_record* record)
{
    if (record == nullptr)
        return;
    record->neighbourEstablishedFlows
        -= std::min(record->neighbourEstablishedFlows, entry.reported.establishedFlows);
    if (!entry.isAged)
        return;
    record->capacity.speed.removeReport(entry.reported.slownessTenths);
    record->capacity.neighbourLoad.remove(entry.mean, entry.difference, entry.ageWhenAdded);
    if (record->capacity.areReportsComplete)
        record->capacity.neighbourFlows = record->capacity.neighbourLoad.value();
}

} // namespace shallotcove::steering
