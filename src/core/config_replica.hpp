#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <shallotcove/core/control_engine.hpp>

namespace shallotcove::core {

/// Longest key that fits into a message beside a chunk of its value.
inline constexpr std::size_t maximumReplicaKeyBytes = 160;

/// Copy of the store's keys. Modification indexes of entries and the applied index never decrease. Deleted
/// keys stay as tombstones, so that an old value that arrives late is recognized.
class config_replica {
public:
    /// Applies an entry that is later than both the known entry of its key and the applied index, and ignores
    /// any other: a key that is unknown although its modification index is applied has been deleted since.
    void apply(const store_entry&);
    /// Records that all changes up to this index are applied.
    void markAppliedUpTo(config_index);
    /// Records that liveKeys are all keys that exist as of upTo, and marks all other known keys as deleted.
    /// Keys that were never known to this host and were deleted before deletionHorizon have no tombstone
    /// here.
    void markCompleteUpTo(
        config_index upTo, const std::set<std::string>& liveKeys, config_index deletionHorizon);

    config_index appliedIndex() const { return m_applied; }
    /// Keys deleted before this index may have no tombstone here.
    config_index deletionHorizon() const { return m_deletionHorizon; }
    const std::map<std::string, store_entry>& entries() const { return m_entries; }
    std::optional<store_entry> find(const std::string& key) const;
    /// Entries with a modification index above the given one, in ascending order of it.
    std::vector<const store_entry*> modifiedAfter(config_index) const;
    /// Keys that changed since the last call.
    std::vector<std::string> takeChangedKeys();

private:
    std::map<std::string, store_entry> m_entries;
    std::vector<std::string> m_changedKeys;
    config_index m_applied;
    config_index m_deletionHorizon;
};

} // namespace shallotcove::core
