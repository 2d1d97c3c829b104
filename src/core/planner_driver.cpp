#include "planner_driver.hpp"

#include <algorithm>

#include <shallotcove/core/config_json.hpp>

#include "config_replica.hpp"
#include "member_table.hpp"

namespace shallotcove::core {

namespace {

    // The watch delivers a new value well within this time after its write has ended. If none arrives, the
    // write was refused or lost, and the service is planned again from the replica's current value.
    constexpr duration newValueTimeout = std::chrono::seconds { 1 };
    // Longer than any request to the store takes. A write whose result has not been reported by then no
    // longer holds back the planning of its service.
    constexpr duration resultTimeout = std::chrono::seconds { 10 };
    // A host that has been listed for this long without ever answering counts as dead: planning no longer
    // waits for it.
    constexpr duration firstAnswerTimeout = std::chrono::seconds { 3 };

} // namespace

planner_driver::planner_driver(duration leaseDuration)
    : m_leaseDuration(leaseDuration)
    , m_planner(planner::create({}))
{
}

void planner_driver::handleLease(bool isHeld, timestamp now)
{
    if (isHeld)
        m_leaseExpiry = now + m_leaseDuration;
    else
        m_leaseExpiry.reset();
}

void planner_driver::handleWriteResult(
    const std::string& key, std::optional<bool> /*wasWritten*/, timestamp now)
{
    // Written, refused and lost writes are handled alike: the next value of the key shows which it was,
    // and the expected index of the next write keeps it from overwriting a lost write that took effect.
    const auto found = m_pendingWrites.find(key);
    if (found != m_pendingWrites.end())
        found->second.endedAt = now;
}

bool planner_driver::holdsLease(timestamp now) const { return m_leaseExpiry && now < *m_leaseExpiry; }

void planner_driver::eraseCompletedWrites(const config_replica& replica, timestamp now)
{
    std::erase_if(m_pendingWrites, [&](const auto& entry) {
        const auto& [key, write] = entry;
        if (!write.endedAt)
            return now - write.startedAt >= resultTimeout;
        const auto current = replica.entries().find(key);
        const bool hasNewValue
            = current != replica.entries().end() && current->second.modified > write.expected;
        return hasNewValue || now - *write.endedAt >= newValueTimeout;
    });
}

std::vector<store_write> planner_driver::advance(
    planner_input input, const config_replica& replica, timestamp now)
{
    eraseCompletedWrites(replica, now);
    std::erase_if(input.services,
        [this](const planner_service& service) { return m_pendingWrites.contains(service.key); });
    input.now = now;
    std::vector<store_write> writes;
    for (const planned_write& planned : m_planner.plan(input)) {
        m_pendingWrites[planned.key] = { planned.expected, std::nullopt, now };
        writes.push_back({ planned.key, planned.expected, formatServiceConfig(planned.config) });
    }
    return writes;
}

void addHostProgress(planner_input& input, const member_table& members, timestamp now)
{
    std::vector<member> serving { members.self() };
    for (const member* const other : members.otherMembers())
        if (other->state != member_state::Dead)
            serving.push_back(*other);
    // A listed host that has not answered yet may have applied nothing: it counts with all indexes at 0.
    if (members.hasUnseenListedHost(now, firstAnswerTimeout))
        serving.push_back({});
    input.minimumApplied = serving.front().appliedIndex;
    input.minimumRetirementScan = serving.front().retirementScanIndex;
    input.minimumPreparedScan = serving.front().preparedScanIndex;
    for (const member& host : serving) {
        input.minimumApplied = std::min(input.minimumApplied, host.appliedIndex);
        input.minimumRetirementScan = std::min(input.minimumRetirementScan, host.retirementScanIndex);
        input.minimumPreparedScan = std::min(input.minimumPreparedScan, host.preparedScanIndex);
        input.blockedServices.insert(host.blockedServices.begin(), host.blockedServices.end());
    }
}

} // namespace shallotcove::core
