#include <shallotcove/steering/partial_reports.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace shallotcove::steering {

namespace {

    // Bounds the memory that forged messages can claim, 1 MB.
    constexpr std::size_t maximumHosts = 128;
    // Bounds the work for each message, in proportion to the loads of the host: those of three messages.
    constexpr std::size_t maximumLoads = 3 * maximumLoadsPerMessage;

    // A host whose loads take three messages lists each load in every third one only.
    constexpr int lifetimesOfLoad = 3;

    bool isGreater(const server_load& left, const server_load& right)
    {
        if (left.openFlows != right.openFlows)
            return left.openFlows > right.openFlows;
        return left.establishedFlows != right.establishedFlows
            ? left.establishedFlows > right.establishedFlows
            : left.server < right.server;
    }

} // namespace

void sortByLoad(load_report& loads) { std::sort(loads.begin(), loads.end(), isGreater); }

std::size_t partCount(const load_report& loads)
{
    return std::max<std::size_t>(1, (loads.size() + maximumLoadsPerMessage - 1) / maximumLoadsPerMessage);
}

load_report partOf(const load_report& loads, std::size_t part)
{
    const std::size_t from = std::min(part * maximumLoadsPerMessage, loads.size());
    const std::size_t until = std::min(from + maximumLoadsPerMessage, loads.size());
    return { loads.begin() + static_cast<std::ptrdiff_t>(from),
        loads.begin() + static_cast<std::ptrdiff_t>(until) };
}

void partial_reports::expire(core::duration lifetime, core::timestamp now)
{
    std::erase_if(m_hosts, [&](const auto& item) {
        return item.second.empty() || now - item.second.back().listedAt >= lifetimesOfLoad * lifetime;
    });
}

load_report partial_reports::add(
    std::uint32_t host, const load_report& listed, core::duration lifetime, core::timestamp now)
{
    if (m_hosts.size() >= maximumHosts && !m_hosts.contains(host))
        return listed;
    std::vector<listed_load>& known = m_hosts[host];
    std::set<server_tag> renewed;
    for (const server_load& load : listed)
        renewed.insert(load.server);
    std::erase_if(known, [&](const listed_load& entry) {
        return now - entry.listedAt >= lifetimesOfLoad * lifetime || renewed.contains(entry.load.server);
    });
    for (const server_load& load : listed)
        known.push_back({ load, now });
    // Sorted by the time of their message.
    if (known.size() > maximumLoads)
        known.erase(known.begin(), known.end() - static_cast<std::ptrdiff_t>(maximumLoads));
    load_report result;
    result.reserve(known.size());
    for (const listed_load& entry : known)
        result.push_back(entry.load);
    return result;
}

} // namespace shallotcove::steering
