#include "snapshot_builder.hpp"

#include <tl/expected.hpp>

#include <shallotcove/core/config_json.hpp>
#include <shallotcove/core/control_engine.hpp>

#include "config_replica.hpp"

namespace shallotcove::core {

std::vector<std::string> snapshot_builder::update(
    const config_replica& replica, const std::vector<std::string>& changedKeys)
{
    const std::string servicePrefix = serviceKey("");
    const std::string dataCentrePrefix = dataCentreKey("");
    std::vector<std::string> unreadable;
    for (const std::string& key : changedKeys) {
        const auto entry = replica.entries().find(key);
        if (entry == replica.entries().end())
            continue;
        bool isReadable = true;
        if (key.starts_with(servicePrefix))
            isReadable = updateService(key, entry->second);
        else if (key.starts_with(dataCentrePrefix))
            isReadable = updateDataCentre(key, entry->second);
        if (!isReadable)
            unreadable.push_back(key);
    }
    return unreadable;
}

bool snapshot_builder::updateService(const std::string& key, const store_entry& entry)
{
    if (entry.isDeleted) {
        m_services.erase(key);
        return true;
    }
    const tl::expected<service_config, config_problems> config = parseServiceConfig(entry.value);
    if (!config)
        return false;
    m_services[key] = { key, entry.modified, std::make_shared<const service_config>(*config) };
    return true;
}

bool snapshot_builder::updateDataCentre(const std::string& key, const store_entry& entry)
{
    if (entry.isDeleted) {
        m_outDataCentresByKey.erase(key);
    } else {
        const tl::expected<data_centre_config, config_problems> config = parseDataCentreConfig(entry.value);
        if (!config)
            return false;
        m_outDataCentresByKey.erase(key);
        if (config->state == data_centre_state::Out)
            m_outDataCentresByKey.emplace(key, config->name);
    }
    m_dataCentresOut.clear();
    for (const auto& [outKey, name] : m_outDataCentresByKey)
        m_dataCentresOut.insert(name);
    return true;
}

routing_snapshot snapshot_builder::build()
{
    routing_snapshot snapshot;
    m_version += 1;
    snapshot.version = m_version;
    for (const auto& [key, service] : m_services)
        snapshot.services.push_back(service.config);
    snapshot.dataCentresOut = m_dataCentresOut;
    return snapshot;
}

std::vector<planner_service> snapshot_builder::services() const
{
    std::vector<planner_service> result;
    for (const auto& [key, service] : m_services)
        result.push_back(service);
    return result;
}

std::set<std::pair<service_id, backend_server_id>> snapshot_builder::configuredServers() const
{
    std::set<std::pair<service_id, backend_server_id>> result;
    for (const auto& [key, service] : m_services)
        for (const backend_server& server : service.config->servers)
            result.emplace(service.config->id, server.id);
    return result;
}

} // namespace shallotcove::core
