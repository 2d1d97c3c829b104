#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

/// Learns how long a backend server takes for its requests compared with other servers of its service. Works
/// on logarithms of relative answer times, so that the few requests that take many times as long as the
/// others do not dominate the mean.
class server_speed {
public:
    /// Records an answer that took relativeTime times as long as expected for its work.
    void record(double relativeTime, core::timestamp now);
    /// Adds or removes the report of another host. Reports are limited to the range that hosts send, and each
    /// counts as one answer, so that a wrong report of one host is never conclusive by itself.
    void addReport(std::uint8_t slownessTenths);
    void removeReport(std::uint8_t slownessTenths);
    /// Forgets the answers seen by this host, after a restart of the server.
    void reset() { m_weight = 0; }

    /// Number of recent answers, up to a limit. Halves every three seconds without answers.
    double weight(core::timestamp now) const;
    /// Mean logarithm of the relative answer times, to be compared with those of other servers.
    double meanLog() const { return m_meanLog; }

    /// How many times as long the server takes as comparable servers, whose mean logarithm is given. 1 unless
    /// it is conclusive that the server is slow. Based on the answers seen by this host alone.
    double ownSlowness(double referenceLog, core::timestamp now) const;
    /// The same, including the reports of other hosts. Without a reference, only these count.
    double slowness(std::optional<double> referenceLog, core::timestamp now) const;

private:
    double m_weight {};
    double m_meanLog {};
    double m_variance {};
    core::timestamp m_recordedAt;
    std::size_t m_reports {};
    double m_reportLogSum {};
};

/// Converts between the slowness of a server and its value in messages between hosts, where 0 stands for no
/// evidence.
std::uint8_t slownessTenths(double slowness);

} // namespace shallotcove::steering
