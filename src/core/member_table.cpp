#include "member_table.hpp"

#include <algorithm>
#include <bit>

namespace shallotcove::core {

namespace {

    // Longer than the minutes for which regions lose connectivity, so that both sides of a partition still
    // know each other and can reconnect.
    constexpr duration deadRetention = std::chrono::minutes { 15 };

    bool isServing(member_state state) { return state != member_state::Dead; }

    bool isOwner(member_state state)
    {
        return state == member_state::Alive || state == member_state::Suspect;
    }

    /// Merges indexes, blocked services and the planner flag of the same incarnation. Two scans at the same
    /// index may have different results; only the member itself knows which one is newer.
    member mergeReports(member info, const member& update, bool isDirect)
    {
        const bool isLaterScan = update.retirementScanIndex > info.retirementScanIndex;
        if (isLaterScan || (isDirect && update.retirementScanIndex == info.retirementScanIndex))
            info.blockedServices = update.blockedServices;
        info.appliedIndex = std::max(info.appliedIndex, update.appliedIndex);
        info.retirementScanIndex = std::max(info.retirementScanIndex, update.retirementScanIndex);
        info.preparedScanIndex = std::max(info.preparedScanIndex, update.preparedScanIndex);
        // The flag is not taken from other hosts: what they pass on may be older than the lease.
        if (isDirect)
            info.isPlanner = update.isPlanner;
        return info;
    }

} // namespace

member_table::member_table(const member& self, duration suspicionTimeout, std::uint64_t randomSeed)
    : m_self(self)
    , m_suspicionTimeout(suspicionTimeout)
    , m_random(randomSeed)
{
}

merge_result member_table::mergeSelf(const member& update)
{
    const bool isOlder = update.incarnation < m_self.incarnation;
    if (isOlder || (update.incarnation == m_self.incarnation && update.state <= m_self.state))
        return merge_result::Known;
    m_self.incarnation = update.incarnation + 1;
    m_hasUrgentUpdate = true;
    m_isChanged = true;
    return merge_result::Changed;
}

merge_result member_table::merge(const member& update, bool isDirect, timestamp now)
{
    if (update.id == m_self.id)
        return mergeSelf(update);
    const auto found = m_members.find(update.id);
    if (found == m_members.end()) {
        known_member added { update, now, std::nullopt, 0, false };
        added.info.isPlanner = isDirect && update.isPlanner;
        const auto inserted = m_members.emplace(update.id, added).first;
        queueUpdate(inserted->second, true);
        return merge_result::Added;
    }
    known_member& known = found->second;
    const member before = known.info;
    if (isDirect)
        known.failingSince.reset();
    if (update.incarnation < before.incarnation)
        return merge_result::Stale;
    if (update.incarnation == before.incarnation) {
        known.info = mergeReports(before, update, isDirect);
        const member_state state
            = shouldSuspectFirst(known, update, now) ? member_state::Suspect : update.state;
        if (state > before.state) {
            changeState(known, state, now);
            return merge_result::Changed;
        }
        if (known.info != before)
            queueUpdate(known, false);
        if (update.state < before.state)
            return merge_result::Stale;
        return known.info == before ? merge_result::Known : merge_result::Refreshed;
    }
    known.info = update;
    known.info.isPlanner = isDirect && update.isPlanner;
    known.failingSince.reset();
    changeState(known, update.state, now);
    return merge_result::Changed;
}

bool member_table::shouldSuspectFirst(const known_member& known, const member& update, timestamp now) const
{
    if (update.state != member_state::Dead)
        return false;
    // A death reported for a member that this host sees as alive only raises a suspicion: after a partition,
    // the other side reports all hosts of this side as dead, and they must have time to refute it.
    return known.info.state == member_state::Alive
        || (known.info.state == member_state::Suspect && now - known.stateSince < m_suspicionTimeout / 2);
}

void member_table::suspect(host_id id, timestamp now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end())
        return;
    if (found->second.info.state == member_state::Alive)
        changeState(found->second, member_state::Suspect, now);
    else if (found->second.info.state == member_state::Leaving && !found->second.failingSince)
        found->second.failingSince = now;
}

void member_table::expire(timestamp now)
{
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        known_member& known = entry->second;
        const bool isSuspicionOver
            = known.info.state == member_state::Suspect && now - known.stateSince >= m_suspicionTimeout;
        const bool isLeaveOver = known.info.state == member_state::Leaving && known.failingSince
            && now - *known.failingSince >= m_suspicionTimeout;
        if (isSuspicionOver || isLeaveOver)
            changeState(known, member_state::Dead, now);
        if (shouldRemove(known, now)) {
            entry = m_members.erase(entry);
            m_isChanged = true;
        } else {
            ++entry;
        }
    }
}

bool member_table::shouldRemove(const known_member& known, timestamp now) const
{
    return known.info.state == member_state::Dead && now - known.stateSince >= deadRetention && m_hasList
        && !m_listed.contains(known.info.id);
}

void member_table::shiftTimers(duration pause)
{
    for (auto& [id, known] : m_members) {
        known.stateSince = known.stateSince + pause;
        if (known.failingSince)
            known.failingSince = *known.failingSince + pause;
    }
}

void member_table::setAppliedIndex(config_index applied)
{
    if (applied > m_self.appliedIndex)
        m_hasUrgentUpdate = true;
    m_self.appliedIndex = std::max(m_self.appliedIndex, applied);
}

void member_table::setScanResults(
    config_index retirement, config_index prepared, const std::vector<service_id>& blocked)
{
    m_self.retirementScanIndex = std::max(m_self.retirementScanIndex, retirement);
    m_self.preparedScanIndex = std::max(m_self.preparedScanIndex, prepared);
    m_self.blockedServices = blocked;
}

void member_table::setPlanner(bool isPlanner) { m_self.isPlanner = isPlanner; }

void member_table::leave()
{
    m_self.state = member_state::Leaving;
    m_hasUrgentUpdate = true;
    m_isChanged = true;
}

void member_table::setListedHosts(const std::vector<listed_host>& hosts, timestamp now)
{
    std::map<host_id, listed_host> listed;
    std::map<host_id, timestamp> since;
    for (const listed_host& host : hosts) {
        const host_id id = hostIdFor(host.peerAddress);
        listed.emplace(id, host);
        const auto before = m_listedSince.find(id);
        since.emplace(id, before == m_listedSince.end() ? now : before->second);
    }
    m_isChanged = m_isChanged || listed.size() != m_listed.size();
    m_listed = std::move(listed);
    m_listedSince = std::move(since);
    m_hasList = true;
}

void member_table::changeState(known_member& known, member_state state, timestamp now)
{
    known.info.state = state;
    known.stateSince = now;
    queueUpdate(known, true);
}

void member_table::queueUpdate(known_member& known, bool isStateUpdate)
{
    if (isStateUpdate) {
        known.sendsLeft = 3 * baseTransmissions();
        known.isStateUpdate = true;
        m_hasUrgentUpdate = true;
        m_isChanged = true;
    } else {
        known.sendsLeft = std::max(known.sendsLeft, baseTransmissions());
    }
}

std::uint32_t member_table::baseTransmissions() const
{
    return static_cast<std::uint32_t>(std::bit_width(m_members.size() + 1));
}

std::vector<member> member_table::selectUpdates(host_id receiver, std::size_t limit, bool addRandomMember)
{
    std::vector<member> chosen { m_self };
    const auto target = m_members.find(receiver);
    if (target != m_members.end() && target->second.info.state != member_state::Alive)
        chosen.push_back(target->second.info);
    std::vector<known_member*> waiting;
    for (auto& [id, known] : m_members)
        if (known.sendsLeft > 0 && id != receiver)
            waiting.push_back(&known);
    // Random order among equals, so that hosts with the same updates don't all send the same part of them.
    std::shuffle(waiting.begin(), waiting.end(), m_random);
    std::stable_sort(waiting.begin(), waiting.end(), [](const known_member* a, const known_member* b) {
        return a->isStateUpdate != b->isStateUpdate ? a->isStateUpdate : a->sendsLeft > b->sendsLeft;
    });
    for (known_member* const known : waiting) {
        if (chosen.size() >= limit)
            return chosen;
        chosen.push_back(known->info);
        known->sendsLeft -= 1;
        known->isStateUpdate = known->isStateUpdate && known->sendsLeft > 0;
    }
    if (addRandomMember && chosen.size() < limit && !m_members.empty()) {
        auto entry = m_members.begin();
        std::advance(entry, m_random(static_cast<std::uint32_t>(m_members.size())));
        if (entry->first != receiver && entry->second.sendsLeft == 0)
            chosen.push_back(entry->second.info);
    }
    return chosen;
}

bool member_table::takeUrgentFlag() { return std::exchange(m_hasUrgentUpdate, false); }

bool member_table::takeChanged() { return std::exchange(m_isChanged, false); }

const member* member_table::find(host_id id) const
{
    if (id == m_self.id)
        return &m_self;
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second.info;
}

std::vector<const member*> member_table::otherMembers() const
{
    std::vector<const member*> result;
    result.reserve(m_members.size());
    for (const auto& [id, known] : m_members)
        result.push_back(&known.info);
    return result;
}

std::vector<member> member_table::owners() const
{
    std::vector<member> result;
    if (m_self.state != member_state::Leaving)
        result.push_back(m_self);
    for (const auto& [id, known] : m_members)
        if (isOwner(known.info.state))
            result.push_back(known.info);
    std::sort(result.begin(), result.end(), [](const member& a, const member& b) { return a.id < b.id; });
    return result;
}

std::vector<host_id> member_table::servingMembers() const
{
    std::vector<host_id> result;
    for (const auto& [id, known] : m_members)
        if (isServing(known.info.state))
            result.push_back(id);
    return result;
}

std::vector<host_id> member_table::deadMembers() const
{
    std::vector<host_id> result;
    for (const auto& [id, known] : m_members)
        if (!isServing(known.info.state))
            result.push_back(id);
    return result;
}

config_index member_table::highestAppliedIndex() const
{
    config_index highest;
    for (const auto& [id, known] : m_members)
        if (isServing(known.info.state))
            highest = std::max(highest, known.info.appliedIndex);
    return highest;
}

bool member_table::hasUnseenListedHost(timestamp now, duration grace) const
{
    return std::any_of(m_listedSince.begin(), m_listedSince.end(), [&](const auto& entry) {
        return entry.first != m_self.id && !m_members.contains(entry.first) && now - entry.second < grace;
    });
}

} // namespace shallotcove::core
