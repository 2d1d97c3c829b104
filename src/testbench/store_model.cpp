#include "store_model.hpp"

#include <algorithm>

namespace shallotcove::testbench {

bool key_range::contains(const std::string& key) const
{
    if (end.empty())
        return key == begin;
    return key >= begin && (end == std::string(1, '\0') || key < end);
}

std::vector<stored_key> store_model::range(const key_range& range) const
{
    std::vector<stored_key> keys;
    for (const auto& [key, stored] : m_keys)
        if (range.contains(key))
            keys.push_back(stored);
    return keys;
}

tl::expected<bool, store_model::error> store_model::transact(
    const std::vector<store_condition>& conditions, const std::vector<store_operation>& operations)
{
    for (const store_condition& condition : conditions) {
        const auto found = m_keys.find(condition.key);
        if ((found == m_keys.end() ? 0 : found->second.modRevision) != condition.modRevision)
            return false;
    }
    for (const store_operation& operation : operations)
        if (operation.lease != 0 && !m_leases.contains(operation.lease))
            return tl::unexpected(error::LeaseNotFound);
    if (!operations.empty())
        ++m_revision;
    for (const store_operation& operation : operations)
        apply(operation);
    return true;
}

void store_model::apply(const store_operation& operation)
{
    if (operation.type == store_operation::kind::Delete) {
        erase(operation.range);
        return;
    }
    stored_key& stored = m_keys[operation.range.begin];
    const std::int64_t createRevision = stored.version == 0 ? m_revision : stored.createRevision;
    stored = { operation.range.begin, operation.value, createRevision, m_revision, stored.version + 1,
        operation.lease };
    m_history.push_back({ stored, false });
}

void store_model::erase(const key_range& range)
{
    for (auto stored = m_keys.begin(); stored != m_keys.end();) {
        if (!range.contains(stored->first)) {
            ++stored;
            continue;
        }
        stored_event event;
        event.key.key = stored->first;
        event.key.modRevision = m_revision;
        event.isDeletion = true;
        m_history.push_back(event);
        stored = m_keys.erase(stored);
    }
}

std::int64_t store_model::grantLease(std::chrono::seconds timeToLive, time now)
{
    const std::int64_t id = m_nextLease++;
    m_leases[id] = { timeToLive, now + timeToLive };
    return id;
}

std::optional<std::chrono::seconds> store_model::keepLeaseAlive(std::int64_t id, time now)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return std::nullopt;
    found->second.expiry = now + found->second.timeToLive;
    return found->second.timeToLive;
}

tl::expected<void, store_model::error> store_model::revokeLease(std::int64_t id)
{
    if (!m_leases.contains(id))
        return tl::unexpected(error::LeaseNotFound);
    eraseLease(id);
    return {};
}

void store_model::eraseLease(std::int64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> attached;
    for (const auto& [key, stored] : m_keys)
        if (stored.lease == id)
            attached.push_back(key);
    if (!attached.empty())
        ++m_revision;
    for (const std::string& key : attached)
        erase({ key, {} });
}

void store_model::expireLeases(time now)
{
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : m_leases)
        if (lease.expiry <= now)
            expired.push_back(id);
    for (const std::int64_t id : expired)
        eraseLease(id);
}

tl::expected<void, store_model::error> store_model::compact(std::int64_t revision)
{
    if (revision > m_revision)
        return tl::unexpected(error::FutureRevision);
    if (revision <= m_compactedRevision)
        return tl::unexpected(error::Compacted);
    m_compactedRevision = revision;
    std::erase_if(
        m_history, [revision](const stored_event& event) { return event.key.modRevision < revision; });
    return {};
}

tl::expected<std::vector<stored_event>, store_model::error> store_model::eventsSince(
    std::int64_t revision, const key_range& range) const
{
    if (revision < m_compactedRevision)
        return tl::unexpected(error::Compacted);
    std::vector<stored_event> events;
    for (const stored_event& event : m_history)
        if (event.key.modRevision >= revision && range.contains(event.key.key))
            events.push_back(event);
    return events;
}

} // namespace shallotcove::testbench
