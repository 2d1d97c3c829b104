#include <shallotcove/steering/host_directory.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <xxhash.h>

#include <shallotcove/steering/partial_reports.hpp>

namespace shallotcove::steering {

namespace {

    // Keeps an answer within one datagram; successive answers cover a larger fleet in turn.
    constexpr std::size_t maximumHostsPerMessage = 64;
    // A neighbour counts as gone after this many of its messages in a row are missing.
    constexpr int missedMessages = 3;
    // Bounds the memory that forged messages can claim; far above the size of any real fleet.
    constexpr std::size_t maximumContacts = 4096;

} // namespace

host_directory::host_directory(host_directory_options options)
    : m_options(std::move(options))
    , m_loadReportInterval(m_options.loadInterval)
{
}

std::optional<outgoing_message> host_directory::handle(std::uint32_t from, const neighbour_message& message,
    const load_report& dataCentreLoads, const view_report& view, core::timestamp now)
{
    if (from == m_options.self.address)
        return std::nullopt;
    addOrRefresh({ from, message.dataCentre, message.capacity }, now);
    const auto senderEntry = m_contacts.find(from);
    if (senderEntry == m_contacts.end())
        return std::nullopt;
    contact_state& sender = senderEntry->second;
    sender.lastReceivedAt = now;
    sender.dataCentre = message.dataCentre;
    sender.capacity = message.capacity;
    sender.storeRevision = message.storeRevision;
    sender.isWatching = message.isWatching;
    sender.viewAge = message.viewAge;
    sender.format = message.newestFormat;
    m_highestRevision = std::max(m_highestRevision, message.storeRevision);
    for (const host_descriptor& host : message.hosts)
        addOrRefresh(host, now);
    if (!message.wantsHosts && !message.wantsLoads)
        return std::nullopt;
    outgoing_message answer { from, heartbeat(view, now), sender.format };
    if (message.wantsLoads)
        answer.message.loads = dataCentreLoads;
    if (dataCentreLoads.size() > maximumLoadsPerMessage && sender.format == message_format::Version3)
        sortByLoad(answer.message.loads);
    if (message.wantsHosts)
        answer.message.hosts = hostsForAnswer(from, now);
    return answer;
}

std::vector<host_descriptor> host_directory::hostsForAnswer(std::uint32_t receiver, core::timestamp now)
{
    std::vector<host_descriptor> hosts;
    auto next = m_contacts.lower_bound(m_nextListedAddress);
    for (std::size_t visited = 0; visited < m_contacts.size() && hosts.size() < maximumHostsPerMessage;
         ++visited, ++next) {
        if (next == m_contacts.end())
            next = m_contacts.begin();
        const auto& [address, contact] = *next;
        if (address != receiver && contact.lastReceivedAt
            && now - *contact.lastReceivedAt < m_options.aliveTimeout)
            hosts.push_back({ address, contact.dataCentre, contact.capacity });
    }
    m_nextListedAddress = next == m_contacts.end() ? 0 : next->first;
    return hosts;
}

std::vector<outgoing_message> host_directory::advance(const load_report& loads, const view_report& view,
    const exchange_requirements& requirements, core::timestamp now)
{
    std::vector<outgoing_message> messages;
    const std::size_t previousCount = m_contacts.size();
    std::erase_if(
        m_contacts, [&](const auto& item) { return now - lastSeen(item.second) >= m_options.retention; });
    m_isChanged = m_isChanged || m_contacts.size() != previousCount;
    if (m_isChanged || !m_contactsSelectedAt
        || now - *m_contactsSelectedAt >= m_options.contactSelectionInterval)
        selectContacts(now);
    const bool isRelay = watchRole(now).isRelay;
    const bool isSmallDataCentre = m_localContactCount + 1 < m_options.minimumHostsForRelays;
    m_loadReportInterval = localInterval(isSmallDataCentre || requirements.frequentLoads || isRelay
            ? m_options.messagesPerSecond
            : m_options.idleMessagesPerSecond);
    const bool hasNewRevision = isRelay && view.revision > m_announcedRevision;
    if (hasNewRevision)
        m_announcedRevision = view.revision;
    const bool hasNewLoads = loads != m_lastLoads;
    bool areLoadsSent = false;
    for (auto& [address, contact] : m_contacts) {
        const bool isRemote = !isLocal(contact);
        if (!isAlive(contact, now) || (isRemote && !m_remoteContacts.contains(address)))
            continue;
        const bool isDue = !contact.lastSentAt
            || now - *contact.lastSentAt >= sendInterval(contact, requirements, hasNewLoads);
        if (!isDue && (isRemote || !hasNewRevision))
            continue;
        outgoing_message outgoing { address, heartbeat(view, now), contact.format };
        outgoing.message.wantsLoads = requirements.remoteLoads && isRemote;
        // A request for hosts is answered at once, so a host that has to find out what it can reach adds one
        // to each message to another data centre. A host known only from the lists of others needs no
        // request: it responds with its own heartbeat. Hosts that start together do not know all others yet
        // when they answer the seed queries, so the first request to a data centre follows after
        // firstHostListDelay.
        const core::timestamp initialRequest
            = now + m_options.firstHostListDelay - m_options.hostListInterval;
        core::timestamp& requestedAt
            = m_hostsRequestedAt.try_emplace(contact.dataCentre, initialRequest).first->second;
        const bool isHostListDue = now - requestedAt >= m_options.hostListInterval;
        outgoing.message.wantsHosts = isHostListDue || (isRemote && requirements.reachability);
        requestedAt = isHostListDue ? now : requestedAt;
        if (!isRemote) {
            addLoads(outgoing, contact, loads);
            areLoadsSent = true;
        }
        contact.lastSentAt = now;
        messages.push_back(std::move(outgoing));
    }
    if (areLoadsSent)
        m_lastLoads = loads;
    querySeeds(messages, view, now);
    return messages;
}

void host_directory::addLoads(
    outgoing_message& outgoing, contact_state& contact, const load_report& loads) const
{
    load_report& sent = outgoing.message.loads;
    if (outgoing.format == message_format::Version2) {
        std::copy_if(loads.begin(), loads.end(), std::back_inserter(sent),
            [](const server_load& load) { return load.openFlows > 0; });
        return;
    }
    sent = loads;
    const std::size_t parts = partCount(loads);
    if (parts == 1) {
        contact.nextPart = 0;
        return;
    }
    sortByLoad(sent);
    sent = partOf(sent, contact.nextPart % parts);
    outgoing.message.isPartial = true;
    contact.nextPart = (contact.nextPart + 1) % parts;
}

void host_directory::querySeeds(
    std::vector<outgoing_message>& messages, const view_report& view, core::timestamp now)
{
    for (const std::uint32_t seed : m_options.seeds) {
        const auto seedEntry = m_contacts.find(seed);
        const bool isResponding = seedEntry != m_contacts.end() && seedEntry->second.lastReceivedAt
            && isAlive(seedEntry->second, now);
        const auto lastQuery = m_seedsQueriedAt.find(seed);
        const bool isTooEarly = lastQuery != m_seedsQueriedAt.end()
            && now - lastQuery->second
                < (m_contacts.empty() ? m_options.initialSeedInterval : m_options.seedInterval);
        if (seed == m_options.self.address || isResponding || isTooEarly)
            continue;
        m_seedsQueriedAt[seed] = now;
        outgoing_message request { seed, heartbeat(view, now), message_format::Version2 };
        request.message.wantsHosts = true;
        messages.push_back(std::move(request));
    }
}

bool host_directory::takeChanged() { return std::exchange(m_isChanged, false); }

std::vector<std::uint32_t> host_directory::addresses() const
{
    std::vector<std::uint32_t> result { m_options.self.address };
    for (const auto& [address, contact] : m_contacts)
        result.push_back(address);
    std::sort(result.begin(), result.end());
    return result;
}

bool host_directory::hasMessageSince(const std::string& dataCentre, core::timestamp since) const
{
    return std::any_of(m_contacts.begin(), m_contacts.end(), [&](const auto& item) {
        return item.second.dataCentre == dataCentre && item.second.lastReceivedAt
            && *item.second.lastReceivedAt >= since;
    });
}

bool host_directory::hasMessageFrom(const std::string& dataCentre) const
{
    return std::any_of(m_contacts.begin(), m_contacts.end(),
        [&](const auto& item) { return item.second.dataCentre == dataCentre && item.second.lastReceivedAt; });
}

neighbour_message host_directory::heartbeat(const view_report& view, core::timestamp now) const
{
    neighbour_message message;
    message.dataCentre = m_options.self.dataCentre;
    message.capacity = m_options.self.capacity;
    message.storeRevision = view.revision;
    message.isWatching = view.isWatching;
    message.viewAge = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(now - view.answeredAt, core::duration::zero()));
    return message;
}

bool host_directory::isActiveNeighbour(const contact_state& contact, core::timestamp now) const
{
    // The neighbour may be sending at the idle rate.
    const core::duration interval = localInterval(m_options.idleMessagesPerSecond);
    return isLocal(contact) && contact.lastReceivedAt
        && now - *contact.lastReceivedAt < std::max(m_options.neighbourTimeout, missedMessages * interval);
}

core::timestamp host_directory::lastSeen(const contact_state& contact) const
{
    return contact.lastReceivedAt ? std::max(*contact.lastReceivedAt, contact.reportedAt)
                                  : contact.reportedAt;
}

bool host_directory::isAlive(const contact_state& contact, core::timestamp now) const
{
    const core::duration aliveTimeout = isLocal(contact)
        ? m_options.aliveTimeout
        : std::max(m_options.aliveTimeout, 2 * m_options.hostListInterval);
    return now - lastSeen(contact) < aliveTimeout;
}

core::duration host_directory::localInterval(double messagesPerSecond) const
{
    const double seconds = static_cast<double>(m_localContactCount) / messagesPerSecond;
    return std::max(m_options.loadInterval,
        std::chrono::duration_cast<core::duration>(std::chrono::duration<double> { seconds }));
}

core::duration host_directory::remoteInterval() const
{
    const double factor = static_cast<double>(m_localContactCount + 1)
        / static_cast<double>(m_options.hostsPerRemoteInterval);
    const core::duration scaled = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double> { m_options.remoteInterval } * std::max(1.0, factor));
    return std::min(scaled, m_options.longestRemoteInterval);
}

host_position host_directory::position(core::timestamp now) const
{
    host_position result;
    for (const auto& [address, contact] : m_contacts) {
        if (!isLocal(contact) || !isAlive(contact, now))
            continue;
        ++result.count;
        result.index += address < m_options.self.address ? 1 : 0;
    }
    return result;
}

std::size_t host_directory::precedingRelayCandidateCount(core::timestamp now) const
{
    const core::duration timeout
        = std::max(m_options.neighbourTimeout, missedMessages * localInterval(m_options.messagesPerSecond));
    const host_descriptor& self = m_options.self;
    return static_cast<std::size_t>(
        std::count_if(m_contacts.begin(), m_contacts.end(), [&](const auto& entry) {
            const contact_state& contact = entry.second;
            const bool isStronger = contact.capacity != self.capacity ? contact.capacity > self.capacity
                                                                      : entry.first < self.address;
            return isLocal(contact) && isStronger && contact.lastReceivedAt
                && now - *contact.lastReceivedAt < timeout;
        }));
}

watch_role host_directory::watchRole(core::timestamp now) const
{
    if (neighbourCount(now) + 1 < m_options.minimumHostsForRelays)
        return {};
    if (precedingRelayCandidateCount(now) < m_options.relayCount)
        return { true, true, 0, 0 };
    watch_role result;
    for (const auto& [address, contact] : m_contacts) {
        const bool isUsable = isActiveNeighbour(contact, now) && contact.isWatching
            && contact.viewAge + (now - *contact.lastReceivedAt) <= m_options.longestRelayViewAge;
        if (isUsable && (result.shouldWatch || contact.storeRevision > result.relayRevision))
            result = { false, false, address, contact.storeRevision };
    }
    return result;
}

core::duration host_directory::sendInterval(
    const contact_state& contact, const exchange_requirements& requirements, bool hasNewLoads) const
{
    if (!isLocal(contact))
        return requirements.remoteLoads ? m_options.remoteLoadInterval
            : requirements.reachability ? m_options.remoteProbeInterval
                                        : remoteInterval();
    if (!contact.lastReceivedAt)
        return m_options.seedInterval;
    return hasNewLoads ? m_loadReportInterval
                       : std::max(m_options.unchangedLoadInterval, m_loadReportInterval);
}

std::size_t host_directory::neighbourCount(core::timestamp now) const
{
    return static_cast<std::size_t>(std::count_if(m_contacts.begin(), m_contacts.end(),
        [this, now](const auto& item) { return isActiveNeighbour(item.second, now); }));
}

void host_directory::selectContacts(core::timestamp now)
{
    // The rank depends on this host's address, so that each host selects different contacts and the messages
    // to a data centre are spread over its hosts.
    const auto rankOf = [this](std::uint32_t other) {
        const std::uint32_t parts[] { m_options.self.address, other };
        return XXH64(parts, sizeof parts, 0);
    };
    m_contactsSelectedAt = now;
    m_localContactCount = 0;
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::uint32_t>>> candidates;
    for (const auto& [address, contact] : m_contacts) {
        if (!isAlive(contact, now))
            continue;
        if (contact.dataCentre == m_options.self.dataCentre)
            ++m_localContactCount;
        else
            candidates[contact.dataCentre].emplace_back(rankOf(address), address);
    }
    m_remoteContacts.clear();
    for (auto& [dataCentre, ranked] : candidates) {
        const std::size_t chosen = std::min(ranked.size(), m_options.remoteContacts);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end());
        for (std::size_t index = 0; index < chosen; ++index)
            m_remoteContacts.insert(ranked[index].second);
    }
}

void host_directory::addOrRefresh(const host_descriptor& host, core::timestamp now)
{
    if (host.address == m_options.self.address
        || (m_contacts.size() >= maximumContacts && !m_contacts.contains(host.address)))
        return;
    const auto [found, isNew] = m_contacts.try_emplace(host.address);
    contact_state& contact = found->second;
    contact.reportedAt = now;
    if (!isNew)
        return;
    contact.dataCentre = host.dataCentre;
    contact.capacity = host.capacity;
    m_isChanged = true;
}

} // namespace shallotcove::steering
