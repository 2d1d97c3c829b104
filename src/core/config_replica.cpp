#include "config_replica.hpp"

#include <algorithm>
#include <utility>

namespace shallotcove::core {

void config_replica::apply(const store_entry& entry)
{
    if (entry.modified <= m_applied)
        return;
    store_entry& known = m_entries[entry.key];
    if (known.modified >= entry.modified)
        return;
    known = entry;
    m_changedKeys.push_back(entry.key);
}

void config_replica::markAppliedUpTo(config_index index) { m_applied = std::max(m_applied, index); }

void config_replica::markCompleteUpTo(
    config_index upTo, const std::set<std::string>& liveKeys, config_index deletionHorizon)
{
    if (upTo <= m_applied)
        return;
    std::vector<std::string> missing;
    for (const auto& [key, entry] : m_entries)
        if (!entry.isDeleted && entry.modified < upTo && !liveKeys.contains(key))
            missing.push_back(key);
    // The index of the deletion is not known; upTo is the lowest index that is certainly not below it.
    for (const std::string& key : missing)
        apply({ key, upTo, true, {} });
    m_deletionHorizon = std::max(m_deletionHorizon, deletionHorizon);
    m_applied = upTo;
}

std::optional<store_entry> config_replica::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return std::nullopt;
    return found->second;
}

std::vector<const store_entry*> config_replica::modifiedAfter(config_index index) const
{
    std::vector<const store_entry*> result;
    for (const auto& [key, entry] : m_entries)
        if (entry.modified > index)
            result.push_back(&entry);
    std::sort(result.begin(), result.end(), [](const store_entry* a, const store_entry* b) {
        return a->modified != b->modified ? a->modified < b->modified : a->key < b->key;
    });
    return result;
}

std::vector<std::string> config_replica::takeChangedKeys() { return std::exchange(m_changedKeys, {}); }

} // namespace shallotcove::core
