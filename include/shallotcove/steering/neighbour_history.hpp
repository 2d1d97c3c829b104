#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/load_report.hpp>

namespace shallotcove::steering {

class server_directory;
struct server_record;

/// Applies those parts of the neighbours' load reports that matter for services with long flows only: the
/// established flows, the evidence of slowness, and the history from which the present load is estimated.
/// neighbour_loads keeps the requests in progress.
class neighbour_history {
public:
    explicit neighbour_history(core::duration lifetime);
    void setLifetime(core::duration lifetime) { m_lifetime = lifetime; }

    /// Replaces the previous report of the host.
    void apply(std::uint32_t host, const load_report&, server_directory&, core::timestamp now);
    /// Drops the reports that were not renewed within their lifetime.
    void expire(server_directory&, core::timestamp now);

    std::size_t size() const;
    core::duration lifetime() const { return m_lifetime; }

private:
    /// What was added to the record of a server for one host.
    struct contribution {
        server_load reported;
        double mean {};
        double difference {};
        double ageWhenAdded {};
        bool isAged {};
    };

    struct host_history {
        /// Sorted by server.
        std::vector<contribution> contributions;
        core::timestamp receivedAt;
    };

    /// Removes a contribution from the record of its server, if there still is one.
    static void subtract(const contribution&, server_record*);

    core::duration m_lifetime;
    std::map<std::uint32_t, host_history> m_hosts;
};

} // namespace shallotcove::steering
