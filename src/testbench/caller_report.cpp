#include "caller_report.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace shallotcove::testbench {

namespace {

    const char* nameOf(break_cause cause)
    {
        switch (cause) {
        case break_cause::Reset:
            return "reset";
        case break_cause::Lost:
            return "lost";
        case break_cause::WrongAnswer:
            break;
        }
        return "wrongAnswer";
    }

    double ratio(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    }

} // namespace

caller_report::second_counts& caller_report::countsOfSecond(clock::time_point time)
{
    const std::chrono::seconds second = std::chrono::duration_cast<std::chrono::seconds>(time - m_start);
    const std::size_t index = static_cast<std::size_t>(std::max<std::int64_t>(second.count(), 0));
    if (index >= m_seconds.size())
        m_seconds.resize(index + 1);
    return m_seconds[index];
}

void caller_report::recordOpened(const std::string& group)
{
    ++m_opened;
    ++m_groups[group].opened;
}

void caller_report::recordRefused(const std::string& group)
{
    ++m_refused;
    ++m_groups[group].refused;
}

void caller_report::recordUnreachable(clock::time_point now)
{
    ++m_unreachable;
    ++countsOfSecond(now).unreachable;
}

void caller_report::recordOffered(const std::string& kind, std::uint32_t weight, clock::time_point now)
{
    ++m_kinds[kind].offered;
    countsOfSecond(now).offeredWeight += weight;
}

void caller_report::recordAnswered(const std::string& kind, const std::string& group, std::uint32_t weight,
    clock::time_point offeredAt, clock::time_point now)
{
    ++m_kinds[kind].answered;
    ++m_groups[group].answered;
    countsOfSecond(now).answeredWeight += weight;
    m_latencies.push_back(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now - offeredAt).count()));
}

void caller_report::recordBroken(
    std::optional<std::uint32_t> server, break_cause cause, clock::time_point now)
{
    if (server && cause != break_cause::WrongAnswer && m_excludedServers.contains(*server)) {
        ++m_excludedBreaks;
        return;
    }
    ++m_broken[cause];
    ++m_brokenByServer[server ? std::to_string(*server) : "unknown"];
    ++countsOfSecond(now).broken;
}

std::uint64_t caller_report::broken() const
{
    std::uint64_t sum = 0;
    for (const auto& [cause, count] : m_broken)
        sum += count;
    return sum;
}

double caller_report::percentile(double quantile) const
{
    if (m_latencies.empty())
        return 0;
    std::vector<std::uint32_t> sorted = m_latencies;
    const std::size_t index = std::min(
        sorted.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(sorted.size())));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
    return sorted[index] / 1000.0;
}

Json::Value caller_report::toJson() const
{
    Json::Value result;
    result["opened"] = Json::UInt64 { m_opened };
    result["established"] = Json::UInt64 { m_established };
    result["repeatedFirst"] = Json::UInt64 { m_firstPacketRetransmissions };
    result["repeatedRequests"] = Json::UInt64 { m_requestRetransmissions };
    result["refused"] = Json::UInt64 { m_refused };
    result["unreachable"] = Json::UInt64 { m_unreachable };
    result["broken"] = Json::UInt64 { broken() };
    result["brokenPer10000"] = 10000 * ratio(broken(), m_established);
    result["endedByDataCentreOut"] = Json::UInt64 { m_excludedBreaks };
    for (const auto& [cause, count] : m_broken)
        result["brokenByCause"][nameOf(cause)] = Json::UInt64 { count };
    for (const auto& [server, count] : m_brokenByServer)
        result["brokenByServer"][server] = Json::UInt64 { count };
    for (const auto& [name, kind] : m_kinds) {
        result["kinds"][name]["offered"] = Json::UInt64 { kind.offered };
        result["kinds"][name]["answered"] = Json::UInt64 { kind.answered };
    }
    for (const auto& [name, group] : m_groups) {
        result["groups"][name]["opened"] = Json::UInt64 { group.opened };
        result["groups"][name]["refused"] = Json::UInt64 { group.refused };
        result["groups"][name]["answered"] = Json::UInt64 { group.answered };
    }
    second_counts total;
    for (const second_counts& second : m_seconds) {
        Json::Value entry;
        entry["offeredWeight"] = Json::UInt64 { second.offeredWeight };
        entry["answeredWeight"] = Json::UInt64 { second.answeredWeight };
        entry["broken"] = Json::UInt64 { second.broken };
        entry["unreachable"] = Json::UInt64 { second.unreachable };
        result["seconds"].append(entry);
        total.offeredWeight += second.offeredWeight;
        total.answeredWeight += second.answeredWeight;
    }
    result["offeredWeight"] = Json::UInt64 { total.offeredWeight };
    result["answeredWeight"] = Json::UInt64 { total.answeredWeight };
    result["service"] = ratio(total.answeredWeight, total.offeredWeight);
    result["latencyMs"]["p50"] = percentile(0.5);
    result["latencyMs"]["p90"] = percentile(0.9);
    result["latencyMs"]["p99"] = percentile(0.99);
    result["latencyMs"]["max"] = percentile(1);
    return result;
}

std::string caller_report::toTable() const
{
    const Json::Value json = toJson();
    std::ostringstream out;
    const auto row = [&out](const std::string& name, const auto& value) {
        out << std::left << std::setw(34) << name << value << '\n';
    };
    row("flows opened", m_opened);
    row("flows established", m_established);
    row("flows broken", broken());
    row("  per 10,000", json["brokenPer10000"].asDouble());
    for (const auto& [cause, count] : m_broken)
        row(std::string("  ") + nameOf(cause), count);
    row("flows ended by data centre out", m_excludedBreaks);
    row("flows refused", m_refused);
    row("flows without any answer", m_unreachable);
    row("first packets repeated", m_firstPacketRetransmissions);
    row("requests repeated", m_requestRetransmissions);
    for (const auto& [name, kind] : m_kinds)
        row("answered " + name, std::to_string(kind.answered) + " of " + std::to_string(kind.offered));
    for (const auto& [name, group] : m_groups)
        row("answered for " + name, group.answered);
    row("answered, weighted by kind", json["service"].asDouble());
    for (const char* const quantile : { "p50", "p90", "p99", "max" })
        row(std::string("latency ") + quantile + " (ms)", json["latencyMs"][quantile].asDouble());
    return out.str();
}

} // namespace shallotcove::testbench
