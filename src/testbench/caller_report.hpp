#pragma once

#include <utility>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/value.h>

namespace shallotcove::testbench {

enum class break_cause : std::uint8_t {
    /// A reset ended the established flow.
    Reset,
    /// No complete response to a request arrived, despite retransmissions where they are safe.
    Lost,
    /// The response does not match the request.
    WrongAnswer,
};

/// Counts flows and requests as observed by the callers.
class caller_report {
public:
    using clock = std::chrono::steady_clock;

    explicit caller_report(clock::time_point start)
        : m_start(start)
    {
    }

    void recordOpened(const std::string& group);
    void recordEstablished() { ++m_established; }
    void recordFirstPacketRetransmission() { ++m_firstPacketRetransmissions; }
    void recordRequestRetransmission() { ++m_requestRetransmissions; }
    /// The first packet was answered by a reset.
    void recordRefused(const std::string& group);
    /// None of the first packets of a flow got a response.
    void recordUnreachable(clock::time_point now);
    void recordOffered(const std::string& kind, std::uint32_t weight, clock::time_point now);
    /// offeredAt is the time of the first attempt, also if a later flow carried the request.
    void recordAnswered(const std::string& kind, const std::string& group, std::uint32_t weight,
        clock::time_point offeredAt, clock::time_point now);
    void recordBroken(std::optional<std::uint32_t> server, break_cause, clock::time_point now);

    /// From now on, counts broken flows of these servers separately, because operators have taken their data
    /// centre out.
    void setExcludedServers(std::set<std::uint32_t> servers) { m_excludedServers = std::move(servers); }

    std::uint64_t answered() const { return m_latencies.size(); }
    std::uint64_t established() const { return m_established; }
    std::uint64_t refused() const { return m_refused; }
    std::uint64_t unreachable() const { return m_unreachable; }
    std::uint64_t broken() const;

    Json::Value toJson() const;
    /// Formats the report as a table for people, without the figures per second.
    std::string toTable() const;

private:
    struct kind_counts {
        std::uint64_t offered {};
        std::uint64_t answered {};
    };
    struct group_counts {
        std::uint64_t opened {};
        std::uint64_t refused {};
        std::uint64_t answered {};
    };
    struct second_counts {
        std::uint64_t offeredWeight {};
        std::uint64_t answeredWeight {};
        std::uint64_t broken {};
        std::uint64_t unreachable {};
    };

    second_counts& countsOfSecond(clock::time_point);
    /// Latency in milliseconds at this quantile, from 0 to 1.
    double percentile(double quantile) const;

    clock::time_point m_start;
    std::uint64_t m_opened {};
    std::uint64_t m_established {};
    std::uint64_t m_firstPacketRetransmissions {};
    std::uint64_t m_requestRetransmissions {};
    std::uint64_t m_refused {};
    std::uint64_t m_unreachable {};
    std::uint64_t m_excludedBreaks {};
    std::map<break_cause, std::uint64_t> m_broken;
    std::map<std::string, std::uint64_t> m_brokenByServer;
    std::set<std::uint32_t> m_excludedServers;
    std::map<std::string, kind_counts> m_kinds;
    std::map<std::string, group_counts> m_groups;
    std::vector<second_counts> m_seconds;
    std::vector<std::uint32_t> m_latencies;
};

} // namespace shallotcove::testbench
