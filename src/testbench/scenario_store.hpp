#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <shallotcove/core/control_engine.hpp>

namespace shallotcove::testbench {

/// In-memory key-value store of a simulation: compare-and-swap on keys, one revision for each write.
class scenario_store {
public:
    void write(const std::string& key, const std::string& value)
    {
        m_revision.value += 1;
        m_entries[key] = { key, m_revision, false, value };
    }
    bool compareAndSwap(const core::store_write& request)
    {
        const auto found = m_entries.find(request.key);
        const bool isCurrent = found != m_entries.end() && found->second.modified == request.expected;
        if (isCurrent)
            write(request.key, request.value);
        return isCurrent;
    }
    /// Returns null if the key does not exist.
    const core::store_entry* find(const std::string& key) const
    {
        const auto found = m_entries.find(key);
        return found == m_entries.end() ? nullptr : &found->second;
    }
    const std::string& value(const std::string& key) const { return m_entries.at(key).value; }
    std::vector<core::store_entry> entriesSince(core::config_index index) const
    {
        std::vector<core::store_entry> entries;
        for (const auto& [key, entry] : m_entries) {
            if (entry.modified > index)
                entries.push_back(entry);
        }
        return entries;
    }
    core::config_index revision() const { return m_revision; }

private:
    std::map<std::string, core::store_entry> m_entries;
    core::config_index m_revision { 1 };
};

} // namespace shallotcove::testbench
