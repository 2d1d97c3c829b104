#include <shallotcove/steering/host_directory.hpp>

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace shallotcove::steering {

namespace {

    // Fits one datagram; fleets that are larger are found through several answers.
    constexpr std::size_t maximumHostsPerMessage = 64;
    // A neighbour is taken to be gone after so many messages that did not come.
    constexpr int missedMessages = 3;
    // Well above any fleet; bounds what forged messages can take.
    constexpr std::size_t maximumContacts = 4096;

} // namespace

host_directory::host_directory(host_directory_options options)
    : m_options(std::move(options))
{
}

std::optional<outgoing_message> host_directory::handle(std::uint32_t from, const neighbour_message& message,
    const load_report& placeLoads, const view_report& view, core::timestamp now)
{
    if (from == m_options.self.address)
        return std::nullopt;
    learn({ from, message.dataCentre }, now);
    const auto known = m_contacts.find(from);
    if (known == m_contacts.end())
        return std::nullopt;
    contact& sender = known->second;
    sender.heardAt = now;
    sender.dataCentre = message.dataCentre;
    sender.storeRevision = message.storeRevision;
    sender.isWatching = message.isWatching;
    sender.viewAge = message.viewAge;
    m_highestRevision = std::max(m_highestRevision, message.storeRevision);
    for (const known_host& host : message.hosts)
        learn(host, now);
    if (!message.wantsHosts && !message.wantsLoads)
        return std::nullopt;
    outgoing_message answer { from, greeting(view, now) };
    if (message.wantsLoads)
        answer.message.loads = placeLoads;
    if (!message.wantsHosts)
        return answer;
    for (const auto& [address, other] : m_contacts) {
        const bool wasHeardLately = other.heardAt && now - *other.heardAt < m_options.silence;
        if (address != from && wasHeardLately && answer.message.hosts.size() < maximumHostsPerMessage)
            answer.message.hosts.push_back({ address, other.dataCentre });
    }
    return answer;
}

std::vector<outgoing_message> host_directory::advance(
    const load_report& loads, const view_report& view, const far_needs& needs, core::timestamp now)
{
    std::vector<outgoing_message> messages;
    const std::size_t before = m_contacts.size();
    std::erase_if(m_contacts, [&](const auto& known) {
        return now - known.second.heardAt.value_or(known.second.knownSince) >= m_options.memory;
    });
    m_isChanged = m_isChanged || m_contacts.size() != before;
    chooseContacts(now);
    const bool hasNewLoads = loads != m_lastLoads;
    bool areLoadsSent = false;
    for (auto& [address, known] : m_contacts) {
        if (!isAlive(known, now))
            continue;
        if (known.dataCentre != m_options.self.dataCentre && !m_farContacts.contains(address))
            continue;
        if (known.sentAt && now - *known.sentAt < intervalOf(known, needs, hasNewLoads))
            continue;
        outgoing_message next { address, greeting(view, now) };
        const bool isFar = known.dataCentre != m_options.self.dataCentre;
        // A host that was only heard of does not know this one yet. An urgent question wants an answer at
        // once.
        next.message.wantsHosts = !known.heardAt || (needs.reachability && isFar);
        next.message.wantsLoads = needs.loads && isFar;
        if (!isFar) {
            next.message.loads = loads;
            areLoadsSent = true;
        }
        known.sentAt = now;
        messages.push_back(std::move(next));
    }
    if (areLoadsSent)
        m_lastLoads = loads;
    for (const std::uint32_t seed : m_options.seeds) {
        const auto known = m_contacts.find(seed);
        const bool isHeard = known != m_contacts.end() && known->second.heardAt
            && now - *known->second.heardAt < m_options.silence;
        const auto asked = m_seedsAskedAt.find(seed);
        const bool isTooEarly = asked != m_seedsAskedAt.end()
            && now - asked->second
                < (m_contacts.empty() ? m_options.firstSeedInterval : m_options.seedInterval);
        if (seed == m_options.self.address || isHeard || isTooEarly)
            continue;
        m_seedsAskedAt[seed] = now;
        outgoing_message question { seed, greeting(view, now) };
        question.message.wantsHosts = true;
        messages.push_back(std::move(question));
    }
    return messages;
}

bool host_directory::takeChanged() { return std::exchange(m_isChanged, false); }

std::vector<std::uint32_t> host_directory::addresses() const
{
    std::vector<std::uint32_t> result { m_options.self.address };
    for (const auto& [address, known] : m_contacts)
        result.push_back(address);
    std::sort(result.begin(), result.end());
    return result;
}

bool host_directory::wasHeard(const std::string& dataCentre, core::timestamp since) const
{
    return std::any_of(m_contacts.begin(), m_contacts.end(), [&](const auto& known) {
        return known.second.dataCentre == dataCentre && known.second.heardAt
            && *known.second.heardAt >= since;
    });
}

bool host_directory::knowsHostsIn(const std::string& dataCentre) const
{
    return std::any_of(m_contacts.begin(), m_contacts.end(),
        [&](const auto& known) { return known.second.dataCentre == dataCentre && known.second.heardAt; });
}

neighbour_message host_directory::greeting(const view_report& view, core::timestamp now) const
{
    neighbour_message message;
    message.dataCentre = m_options.self.dataCentre;
    message.storeRevision = view.revision;
    message.isWatching = view.isWatching;
    message.viewAge = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(now - view.answeredAt, core::duration::zero()));
    return message;
}

bool host_directory::isRecent(const contact& known, core::timestamp now) const
{
    return known.dataCentre == m_options.self.dataCentre && known.heardAt
        && now - *known.heardAt < std::max(m_options.recentlyHeard, missedMessages * loadInterval());
}

bool host_directory::isAlive(const contact& known, core::timestamp now) const
{
    return now - known.heardAt.value_or(known.knownSince) < m_options.silence;
}

core::duration host_directory::loadInterval() const
{
    const double spread = static_cast<double>(m_nearContacts) / m_options.messagesPerSecond;
    return std::max(m_options.loadInterval,
        std::chrono::duration_cast<core::duration>(std::chrono::duration<double> { spread }));
}

watch_duty host_directory::duty(core::timestamp now) const
{
    if (neighbourCount(now) + 1 < m_options.hostsForRelays)
        return {};
    const std::size_t before = static_cast<std::size_t>(
        std::count_if(m_contacts.begin(), m_contacts.lower_bound(m_options.self.address),
            [this, now](const auto& known) { return isRecent(known.second, now); }));
    if (before < m_options.relays)
        return { true, true, 0, 0 };
    watch_duty result;
    for (const auto& [address, known] : m_contacts) {
        const bool isFresh = isRecent(known, now) && known.isWatching
            && known.viewAge + (now - *known.heardAt) <= m_options.longestRelayAge;
        if (isFresh && (result.shouldWatch || known.storeRevision > result.relayRevision))
            result = { false, false, address, known.storeRevision };
    }
    return result;
}

core::duration host_directory::intervalOf(
    const contact& known, const far_needs& needs, bool hasNewLoads) const
{
    if (!known.heardAt)
        return m_options.seedInterval;
    if (known.dataCentre != m_options.self.dataCentre)
        return needs.loads       ? m_options.loadFarInterval
            : needs.reachability ? m_options.urgentFarInterval
                                 : m_options.farInterval;
    return hasNewLoads ? loadInterval() : std::max(m_options.idleInterval, loadInterval());
}

std::size_t host_directory::neighbourCount(core::timestamp now) const
{
    return static_cast<std::size_t>(std::count_if(m_contacts.begin(), m_contacts.end(),
        [this, now](const auto& known) { return isRecent(known.second, now); }));
}

void host_directory::chooseContacts(core::timestamp now)
{
    // Each host has others, so that the messages to a data centre are spread over its hosts.
    const auto rankOf = [this](std::uint32_t other) {
        const std::uint32_t parts[] { m_options.self.address, other };
        return XXH64(parts, sizeof parts, 0);
    };
    m_nearContacts = 0;
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::uint32_t>>> candidates;
    for (const auto& [address, known] : m_contacts) {
        if (!isAlive(known, now))
            continue;
        if (known.dataCentre == m_options.self.dataCentre)
            ++m_nearContacts;
        else
            candidates[known.dataCentre].emplace_back(rankOf(address), address);
    }
    m_farContacts.clear();
    for (auto& [dataCentre, ranked] : candidates) {
        const std::size_t chosen = std::min(ranked.size(), m_options.farContacts);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end());
        for (std::size_t index = 0; index < chosen; ++index)
            m_farContacts.insert(ranked[index].second);
    }
}

void host_directory::learn(const known_host& host, core::timestamp now)
{
    if (host.address == m_options.self.address
        || (m_contacts.size() >= maximumContacts && !m_contacts.contains(host.address)))
        return;
    const auto [found, isNew] = m_contacts.try_emplace(host.address);
    if (!isNew)
        return;
    found->second.dataCentre = host.dataCentre;
    found->second.knownSince = now;
    m_isChanged = true;
}

} // namespace shallotcove::steering
