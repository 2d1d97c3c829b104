#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/load_report.hpp>

namespace shallotcove::steering {

class server_directory;

/// Loads that the other hosts of the data centre place, added up in the records of the servers.
class neighbour_loads {
public:
    explicit neighbour_loads(core::duration lifetime);

    /// Replaces what the host said before.
    void apply(std::uint32_t hostAddress, const load_report&, server_directory&, core::timestamp now);
    /// Takes back reports of hosts that are silent.
    void expire(server_directory&, core::timestamp now);

    std::size_t hostCount() const { return m_reports.size(); }
    /// Hosts with a smaller address than the given one.
    std::size_t hostsBefore(std::uint32_t hostAddress) const;

private:
    struct dated_report {
        load_report loads;
        core::timestamp at;
    };

    static void subtract(const load_report&, server_directory&);

    core::duration m_lifetime;
    std::map<std::uint32_t, dated_report> m_reports;
};

} // namespace shallotcove::steering
