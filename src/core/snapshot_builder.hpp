#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <shallotcove/core/planner.hpp>
#include <shallotcove/core/routing_snapshot.hpp>

namespace shallotcove::core {

class config_replica;
struct store_entry;

/// Holds the parsed configuration and builds routing snapshots from it.
class snapshot_builder {
public:
    /// Parses the changed keys. If a value cannot be parsed, the previous one stays in force; returns the
    /// keys of such values.
    std::vector<std::string> update(const config_replica&, const std::vector<std::string>& changedKeys);
    /// Builds a snapshot of the configuration with the next version number; the other fields are left empty.
    routing_snapshot build();

    std::vector<planner_service> services() const;
    const std::set<std::string>& dataCentresOut() const { return m_dataCentresOut; }
    std::set<std::pair<service_id, backend_server_id>> configuredServers() const;

private:
    bool updateService(const std::string& key, const store_entry&);
    bool updateDataCentre(const std::string& key, const store_entry&);

    std::map<std::string, planner_service> m_services;
    std::map<std::string, std::string> m_outDataCentresByKey;
    std::set<std::string> m_dataCentresOut;
    std::uint64_t m_version {};
};

} // namespace shallotcove::core
