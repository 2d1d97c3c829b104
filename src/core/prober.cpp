#include "prober.hpp"

#include <algorithm>
#include <iterator>

#include "member_table.hpp"

namespace shallotcove::core {

namespace {

    constexpr std::size_t maximumSuccessors = 3;
    constexpr std::size_t probesPerTickWhileJoining = 8;
    // With 30% loss, about half of the live hosts answer a single probe; the probes that hosts send to this
    // one make up for the rest.
    constexpr std::uint32_t probesPerContact = 2;
    // A tick is half a probe period: one dead member or silent contact is probed every 2 s.
    constexpr std::uint64_t unreachableProbeTicks = 10;
    // When one dead host returns, as after a partition, the others are probably back as well and are probed
    // on every tick for this long.
    constexpr duration recoveryWindow = std::chrono::seconds { 10 };

} // namespace

prober::prober(const control_engine_options& options)
    : m_options(options)
    , m_random(options.randomSeed, options.self.id.value)
{
}

void prober::setContacts(std::map<host_id, socket_address> contacts) { m_contacts = std::move(contacts); }

bool prober::hasTriedContacts(const member_table& members) const
{
    return std::all_of(m_contacts.begin(), m_contacts.end(), [&](const auto& contact) {
        const auto probes = m_unreachableProbes.find(contact.first);
        return members.find(contact.first) != nullptr
            || (probes != m_unreachableProbes.end() && probes->second >= probesPerContact);
    });
}

void prober::markReachable(host_id id, bool wasDead, timestamp now)
{
    std::erase_if(m_openProbes, [&](const auto& entry) { return entry.second.target == id; });
    if (wasDead) {
        m_isRecovering = true;
        m_recoveryUntil = now + recoveryWindow;
    }
}

bool prober::handleAck(std::uint64_t probe, host_id target)
{
    const auto found = m_openProbes.find(probe);
    if (found != m_openProbes.end() && found->second.target == target)
        m_openProbes.erase(found);
    return probe > m_lastDropped && probe <= m_lastProbe;
}

void prober::dropProbes()
{
    m_openProbes.clear();
    m_lastDropped = m_lastProbe;
}

std::vector<probe_request> prober::advance(member_table& members, bool isJoining, timestamp now)
{
    std::vector<probe_request> requests;
    continueProbes(members, now, requests);
    if (m_ticks > 0 && now < m_nextTick)
        return requests;
    const duration tick = m_options.probePeriod / 2;
    const bool isLate = m_ticks == 0 || now - m_nextTick >= tick;
    m_nextTick = (isLate ? now : m_nextTick) + tick;
    m_isRecovering = m_isRecovering && now < m_recoveryUntil;
    // Successor and permutation are probed on alternate ticks, which spreads gossip more evenly over time.
    if (m_ticks % 2 == 0)
        probeSuccessors(members, now, requests);
    else
        probeNextOfPermutation(members, now, requests);
    if (isJoining)
        probeUnreachable(members, probesPerTickWhileJoining, requests);
    else if (m_isRecovering || m_ticks % unreachableProbeTicks == 0)
        probeUnreachable(members, 1, requests);
    m_ticks += 1;
    return requests;
}

void prober::startProbe(host_id target, timestamp now, std::vector<probe_request>& requests)
{
    const bool isOpen = std::any_of(m_openProbes.begin(), m_openProbes.end(),
        [&](const auto& entry) { return entry.second.target == target; });
    if (isOpen)
        return;
    m_lastProbe += 1;
    m_openProbes.emplace(m_lastProbe, open_probe { target, now });
    requests.push_back({ target, m_lastProbe, false, target });
}

void prober::continueProbes(member_table& members, timestamp now, std::vector<probe_request>& requests)
{
    // A probe is sent every half timeout, so that a single lost datagram does not raise a suspicion.
    const duration interval = m_options.probeTimeout / 2;
    for (auto entry = m_openProbes.begin(); entry != m_openProbes.end();) {
        const std::uint64_t probe = entry->first;
        open_probe& open = entry->second;
        const member* const target = members.find(open.target);
        if (target == nullptr || target->state == member_state::Dead) {
            entry = m_openProbes.erase(entry);
            continue;
        }
        ++entry;
        const duration wait = open.isSuspected ? m_options.probePeriod : interval * open.sends;
        if (now - open.sentAt < wait)
            continue;
        if (open.isSuspected) {
            // Probing goes on, so that a falsely suspected host learns of the suspicion and can refute it.
            open.sentAt = now;
        } else if (open.sends == 2) {
            requestIndirectProbes(members, probe, open.target, requests);
        } else if (open.sends >= 4) {
            members.suspect(open.target, now);
            open.isSuspected = true;
            open.sentAt = now;
        }
        open.sends += 1;
        requests.push_back({ open.target, probe, false, open.target });
    }
}

void prober::probeSuccessors(const member_table& members, timestamp now, std::vector<probe_request>& requests)
{
    std::vector<host_id> ring = members.servingMembers();
    std::sort(ring.begin(), ring.end());
    const auto successor = std::upper_bound(ring.begin(), ring.end(), members.self().id);
    std::rotate(ring.begin(), successor, ring.end());
    const std::size_t count = std::min(ring.size(), maximumSuccessors);
    for (std::size_t i = 0; i < count; ++i) {
        startProbe(ring[i], now, requests);
        if (members.find(ring[i])->state == member_state::Alive)
            return;
    }
}

void prober::probeNextOfPermutation(
    const member_table& members, timestamp now, std::vector<probe_request>& requests)
{
    if (m_permutation.empty()) {
        m_permutation = members.servingMembers();
        std::shuffle(m_permutation.begin(), m_permutation.end(), m_random);
    }
    if (m_permutation.empty())
        return;
    const host_id target = m_permutation.back();
    m_permutation.pop_back();
    const member* const found = members.find(target);
    if (found != nullptr && found->state != member_state::Dead)
        startProbe(target, now, requests);
}

void prober::probeUnreachable(
    const member_table& members, std::size_t count, std::vector<probe_request>& requests)
{
    std::vector<host_id> unreachable = members.deadMembers();
    for (const auto& [id, address] : m_contacts)
        if (id != members.self().id && members.find(id) == nullptr)
            unreachable.push_back(id);
    std::shuffle(unreachable.begin(), unreachable.end(), m_random);
    std::erase_if(m_unreachableProbes, [&](const auto& entry) {
        return std::find(unreachable.begin(), unreachable.end(), entry.first) == unreachable.end();
    });
    std::stable_sort(unreachable.begin(), unreachable.end(),
        [this](host_id a, host_id b) { return m_unreachableProbes[a] < m_unreachableProbes[b]; });
    unreachable.resize(std::min(unreachable.size(), count));
    for (const host_id id : unreachable) {
        m_unreachableProbes[id] += 1;
        requests.push_back({ id, ++m_lastProbe, false, id });
    }
}

void prober::requestIndirectProbes(
    const member_table& members, std::uint64_t probe, host_id target, std::vector<probe_request>& requests)
{
    std::vector<host_id> helpers;
    for (const host_id id : members.servingMembers())
        if (id != target && members.find(id)->state == member_state::Alive)
            helpers.push_back(id);
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min<std::size_t>(helpers.size(), m_options.indirectProbes));
    for (const host_id helper : helpers)
        requests.push_back({ helper, probe, true, target });
}

} // namespace shallotcove::core
