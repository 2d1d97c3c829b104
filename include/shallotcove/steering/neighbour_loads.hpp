#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/load_report.hpp>

namespace shallotcove::steering {

class server_directory;
struct server_record;

/// Loads that other hosts place on the servers, summed up in one field of the server records. Reporter
/// identifies the sender of a report: a host of this data centre by its address, or another data centre as a
/// whole by its name.
template <typename Reporter> class neighbour_loads {
public:
    using load_field = std::uint32_t server_record::*;

    neighbour_loads(load_field total, core::duration lifetime);
    void setLifetime(core::duration lifetime) { m_lifetime = lifetime; }

    /// Replaces the previous report of the reporter.
    void apply(const Reporter&, const load_report&, server_directory&, core::timestamp now);
    /// Subtracts and drops the reports that were not renewed within their lifetime.
    void expire(server_directory&, core::timestamp now);

    std::size_t count() const { return m_reports.size(); }
    bool has(const Reporter& reporter) const { return m_reports.contains(reporter); }

private:
    struct received_report {
        load_report loads;
        core::timestamp receivedAt;
    };

    void subtract(const load_report&, server_directory&) const;

    load_field m_total;
    core::duration m_lifetime;
    std::map<Reporter, received_report> m_reports;
};

extern template class neighbour_loads<std::uint32_t>;
extern template class neighbour_loads<std::string>;

} // namespace shallotcove::steering
