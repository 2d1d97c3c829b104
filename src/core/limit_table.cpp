#include "limit_table.hpp"

#include <algorithm>
#include <tuple>

namespace shallotcove::core {

namespace {

    constexpr std::uint32_t sendsPerChange = 12;
    // Upper bounds for the encoded size of a limit without acknowledgements, and of each acknowledgement.
    constexpr std::size_t limitBytes = 48;
    constexpr std::size_t acknowledgementBytes = 9;
    // A longer list is sent as a random subset; the receiver merges the subsets that it gets.
    constexpr std::size_t maximumAcknowledgements = 40;
    // Time that the packet engine needs to apply a cleared limit and to scan its flows.
    constexpr duration flowScanTime = std::chrono::seconds { 10 };
    // Time until all hosts know of a restart, even if 30% of messages are lost.
    constexpr duration restartPropagationTime = std::chrono::seconds { 5 };
    constexpr duration unconfiguredRetention = std::chrono::seconds { 60 };

    bool isLater(const server_limit& a, const server_limit& b)
    {
        return std::tie(a.sequence, a.proposer, a.kind) > std::tie(b.sequence, b.proposer, b.kind);
    }

    bool isSame(const server_limit& a, const server_limit& b)
    {
        return std::tie(a.sequence, a.proposer, a.kind) == std::tie(b.sequence, b.proposer, b.kind);
    }

} // namespace

limit_table::limit_table(host_id self, std::uint64_t randomSeed)
    : m_self(self)
    , m_random(randomSeed)
{
}

bool limit_table::merge(host_id from, const limit_update& update, timestamp now)
{
    const server_key key { update.limit.service, update.limit.server };
    const auto [entry, isAdded] = m_limits.try_emplace(key);
    limit_record& record = entry->second;
    const bool isNewer = isAdded || isLater(update.limit, record.effective.limit);
    if (isNewer)
        replace(record, update.limit, now);
    else if (!isSame(update.limit, record.effective.limit))
        return false;
    const std::size_t before = record.acknowledged.size();
    record.hostsWithLimit.insert(from);
    for (const host_id host : update.acknowledgedBy) {
        if (host == m_self || isFromBeforeRestart(record, from, host))
            continue;
        record.acknowledged.insert(host);
        record.hostsWithLimit.insert(host);
    }
    if (record.acknowledged.size() > before)
        record.sendsLeft = sendsPerChange;
    else if (update.acknowledgedBy.size() < record.acknowledged.size())
        record.sendsLeft = std::max(record.sendsLeft, 1U);
    return isNewer;
}

void limit_table::propose(const server_limit& limit, timestamp now)
{
    const auto [entry, isAdded] = m_limits.try_emplace({ limit.service, limit.server });
    if (isAdded || isLater(limit, entry->second.effective.limit))
        replace(entry->second, limit, now);
}

void limit_table::replace(limit_record& record, const server_limit& limit, timestamp now)
{
    const bool isClear = limit.kind == limit_kind::Clear;
    // All hosts already send new flows of a server with an effective limit through their owners, so another
    // value of the limit does not have to be acknowledged first.
    const bool staysEffective = !isClear && record.effective.stage == limit_stage::Effective
        && record.effective.limit.sequence > 0 && record.effective.limit.kind != limit_kind::Clear;
    const limit_stage stage = isClear ? limit_stage::Cleared
        : staysEffective              ? limit_stage::Effective
                                      : limit_stage::Pending;
    const timestamp since = staysEffective ? record.effective.since : now;
    record.effective = { limit, stage, since };
    record.replacedAt = now;
    record.lastConfigured = now;
    record.acknowledged.clear();
    record.hostsWithLimit.clear();
    record.isFinished = false;
    record.sendsLeft = sendsPerChange;
    if (!isClear)
        record.acknowledged.insert(m_self);
    m_hasUrgentUpdate = true;
    m_isChanged = true;
}

void limit_table::handleHostRestart(host_id host, timestamp now)
{
    m_restartTimes[host] = now;
    for (auto& [key, record] : m_limits) {
        record.acknowledged.erase(host);
        record.hostsWithLimit.erase(host);
    }
}

void limit_table::expireRestarts(timestamp now)
{
    std::erase_if(
        m_restartTimes, [now](const auto& entry) { return now - entry.second >= restartPropagationTime; });
}

bool limit_table::isFromBeforeRestart(const limit_record& record, host_id from, host_id acknowledging) const
{
    // Other hosts may not yet know of the restart and pass on an acknowledgement from before it.
    const auto restart = m_restartTimes.find(acknowledging);
    return restart != m_restartTimes.end() && from != acknowledging && record.replacedAt <= restart->second;
}

void limit_table::acknowledgeCleared(const std::function<bool(service_id)>& hasExceptions, timestamp now)
{
    for (auto& [key, record] : m_limits) {
        const bool isUnacknowledged = record.effective.stage == limit_stage::Cleared && !record.isFinished
            && !record.acknowledged.contains(m_self);
        if (!isUnacknowledged || now - record.replacedAt < flowScanTime || hasExceptions(key.first))
            continue;
        record.acknowledged.insert(m_self);
        record.sendsLeft = sendsPerChange;
    }
}

void limit_table::advance(const std::vector<host_id>& servingMembers, timestamp now)
{
    for (auto& [key, record] : m_limits) {
        const bool isWaiting = record.effective.stage != limit_stage::Effective && !record.isFinished;
        if (!isWaiting || !record.acknowledged.contains(m_self))
            continue;
        const std::set<host_id>& acknowledged = record.acknowledged;
        const bool haveAllAcknowledged = std::all_of(servingMembers.begin(), servingMembers.end(),
            [&](host_id host) { return acknowledged.contains(host); });
        if (!haveAllAcknowledged)
            continue;
        if (record.effective.stage == limit_stage::Pending)
            record.effective = { record.effective.limit, limit_stage::Effective, now };
        else
            record.isFinished = true;
        m_isChanged = true;
    }
}

void limit_table::removeUnconfigured(const std::set<server_key>& configured, timestamp now)
{
    for (auto& [key, record] : m_limits)
        if (configured.contains(key))
            record.lastConfigured = now;
    const std::size_t forgotten = std::erase_if(m_limits,
        [&](const auto& entry) { return now - entry.second.lastConfigured >= unconfiguredRetention; });
    m_isChanged = m_isChanged || forgotten > 0;
}

limit_update limit_table::updateOf(const limit_record& record)
{
    limit_update update { record.effective.limit, {} };
    std::vector<host_id> hosts(record.acknowledged.begin(), record.acknowledged.end());
    if (hosts.size() > maximumAcknowledgements) {
        std::shuffle(hosts.begin(), hosts.end(), m_random);
        const auto self = std::find(hosts.begin(), hosts.end(), m_self);
        if (self != hosts.end())
            std::iter_swap(hosts.begin(), self);
        hosts.resize(maximumAcknowledgements);
    }
    update.acknowledgedBy = std::move(hosts);
    return update;
}

std::vector<limit_update> limit_table::selectUpdates(host_id receiver, std::size_t bytes)
{
    std::vector<limit_record*> due;
    std::vector<limit_record*> notDue;
    for (auto& [key, record] : m_limits) {
        const bool isMissingAtReceiver = !record.isFinished && !record.hostsWithLimit.contains(receiver);
        if (isMissingAtReceiver || record.sendsLeft > 0)
            due.push_back(&record);
        else if (!record.isFinished)
            notDue.push_back(&record);
    }
    std::shuffle(due.begin(), due.end(), m_random);
    std::stable_sort(due.begin(), due.end(), [receiver](const limit_record* a, const limit_record* b) {
        return !a->hostsWithLimit.contains(receiver) && b->hostsWithLimit.contains(receiver);
    });
    // Adds one limit that is not due, so that a host that missed acknowledgements gets them eventually.
    if (!notDue.empty())
        due.push_back(notDue[m_random(static_cast<std::uint32_t>(notDue.size()))]);
    std::vector<limit_update> chosen;
    for (limit_record* const record : due) {
        const std::size_t hosts = std::min(record->acknowledged.size(), maximumAcknowledgements);
        const std::size_t size = limitBytes + hosts * acknowledgementBytes;
        if (size > bytes)
            continue;
        bytes -= size;
        chosen.push_back(updateOf(*record));
        record->sendsLeft -= record->sendsLeft > 0 ? 1 : 0;
    }
    return chosen;
}

bool limit_table::takeUrgentFlag() { return std::exchange(m_hasUrgentUpdate, false); }

bool limit_table::takeChanged() { return std::exchange(m_isChanged, false); }

std::vector<server_limit> limit_table::limits() const
{
    std::vector<server_limit> result;
    for (const auto& [key, record] : m_limits)
        result.push_back(record.effective.limit);
    return result;
}

std::vector<effective_limit> limit_table::effectiveLimits() const
{
    std::vector<effective_limit> result;
    for (const auto& [key, record] : m_limits)
        if (!record.isFinished)
            result.push_back(record.effective);
    return result;
}

std::set<limit_table::server_key> limit_table::limitedServers() const
{
    std::set<server_key> result;
    for (const auto& [key, record] : m_limits)
        if (record.effective.stage == limit_stage::Effective)
            result.insert(key);
    return result;
}

} // namespace shallotcove::core
