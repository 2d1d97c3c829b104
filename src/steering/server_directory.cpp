#include <shallotcove/steering/server_directory.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

namespace {

    bool isBefore(const server_record* server, server_tag tag) { return server->tag < tag; }

    /// Whether a server has the right to a tag that both have. Depends on the entries alone, so that all
    /// hosts agree whatever the order in which they read them. A server that joins later takes the tag from
    /// no other.
    bool precedes(const server_entry& left, const server_entry& right)
    {
        return std::tie(left.startedAtMs, left.id) < std::tie(right.startedAtMs, right.id);
    }

} // namespace

server_directory::server_directory(const steering_options& options)
    : m_uncertainRemovalGrace(options.uncertainRemovalGrace)
    , m_departedServerRetention(options.departedServerRetention)
{
}

bool server_directory::apply(const server_entry& entry, core::timestamp now)
{
    const server_tag tag = tagOf(entry.id);
    const server_record* const holder = find(tag);
    const bool isHeldByOther
        = holder != nullptr && holder->presence != server_presence::Left && holder->entry.id != entry.id;
    if (!isHeldByOther && !m_serversWithoutTag.contains(tag)) {
        setEntry(entry, now);
        return true;
    }
    std::vector<server_entry>& others = m_serversWithoutTag[tag];
    std::erase_if(others, [&entry](const server_entry& other) { return other.id == entry.id; });
    others.push_back(entry);
    if (isHeldByOther && precedes(holder->entry, *std::min_element(others.begin(), others.end(), precedes)))
        return false;
    // An uncertain holder is no longer in the store, so that nothing would remove it later.
    if (isHeldByOther && holder->presence == server_presence::Listed)
        others.push_back(holder->entry);
    giveTagToFirst(tag, now);
    return find(tag)->entry.id == entry.id;
}

void server_directory::setEntry(const server_entry& entry, core::timestamp now)
{
    const server_tag tag = tagOf(entry.id);
    const auto [found, isNew] = m_records.try_emplace(tag);
    server_record& record = found->second;
    const bool isReassigned = !isNew && record.entry.id != entry.id;
    const bool hasRestarted = !isNew && record.entry.startedAtMs != entry.startedAtMs;
    if (isReassigned)
        m_reassignedTags.push_back(tag);
    if (isNew || isReassigned || hasRestarted || record.presence == server_presence::Left) {
        record.evidence.reset();
        record.answers = {};
        record.capacity.speed.reset();
    }
    if (!isNew && record.presence != server_presence::Left)
        removeFromService(record);
    if (isNew || isReassigned || record.presence != server_presence::Listed) {
        record.presence = server_presence::Listed;
        record.presenceSince = now;
    }
    if (record.entry.service != entry.service)
        record.capacity.isEstimated = false;
    record.tag = tag;
    record.entry = entry;
    record.coldUntil = now + entry.coldFor;
    record.dataCentreIndex = dataCentreIndexOf(entry.dataCentre);
    addToService(record);
}

void server_directory::giveTagToFirst(server_tag tag, core::timestamp now)
{
    const auto found = m_serversWithoutTag.find(tag);
    if (found == m_serversWithoutTag.end())
        return;
    std::vector<server_entry>& others = found->second;
    const auto first = std::min_element(others.begin(), others.end(), precedes);
    setEntry(*first, now);
    others.erase(first);
    if (others.empty())
        m_serversWithoutTag.erase(found);
}

void server_directory::remove(std::string_view serverId, bool isUncertain, core::timestamp now)
{
    const server_tag tag = tagOf(serverId);
    const auto others = m_serversWithoutTag.find(tag);
    if (others != m_serversWithoutTag.end()) {
        std::erase_if(others->second, [serverId](const server_entry& other) { return other.id == serverId; });
        if (others->second.empty())
            m_serversWithoutTag.erase(others);
    }
    server_record* const record = find(tag);
    if (record == nullptr || record->entry.id != serverId || record->presence != server_presence::Listed)
        return;
    // A draining server was about to leave, so its removal is certain.
    if (!isUncertain || record->entry.state == server_state::Draining)
        return markLeft(*record, now);
    record->presence = server_presence::Uncertain;
    record->presenceSince = now;
}

std::vector<server_tag> server_directory::takeReassignedTags() { return std::exchange(m_reassignedTags, {}); }

void server_directory::expire(core::timestamp now)
{
    for (auto& [tag, record] : m_records) {
        if (record.presence == server_presence::Uncertain
            && now - record.presenceSince >= m_uncertainRemovalGrace)
            markLeft(record, now);
    }
    std::erase_if(m_records, [this, now](const auto& item) {
        return item.second.presence == server_presence::Left
            && now - item.second.presenceSince >= m_departedServerRetention;
    });
}

server_record* server_directory::find(server_tag tag)
{
    const auto found = m_records.find(tag);
    return found == m_records.end() ? nullptr : &found->second;
}

const server_record* server_directory::find(server_tag tag) const
{
    const auto found = m_records.find(tag);
    return found == m_records.end() ? nullptr : &found->second;
}

const std::vector<server_record*>& server_directory::serversOf(std::string_view service) const
{
    static const std::vector<server_record*> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

std::size_t server_directory::dataCentreIndexOf(const std::string& dataCentre)
{
    const auto found = std::find(m_dataCentres.begin(), m_dataCentres.end(), dataCentre);
    if (found != m_dataCentres.end())
        return static_cast<std::size_t>(found - m_dataCentres.begin());
    m_dataCentres.push_back(dataCentre);
    m_serverCounts.push_back(0);
    return m_dataCentres.size() - 1;
}

void server_directory::addToService(server_record& record)
{
    std::vector<server_record*>& servers = m_services[record.entry.service];
    servers.insert(std::lower_bound(servers.begin(), servers.end(), record.tag, isBefore), &record);
    ++m_serverCounts[record.dataCentreIndex];
}

void server_directory::removeFromService(const server_record& record)
{
    --m_serverCounts[record.dataCentreIndex];
    const auto service = m_services.find(record.entry.service);
    std::vector<server_record*>& servers = service->second;
    servers.erase(std::lower_bound(servers.begin(), servers.end(), record.tag, isBefore));
    if (servers.empty())
        m_services.erase(service);
}

void server_directory::markLeft(server_record& record, core::timestamp now)
{
    removeFromService(record);
    record.capacity.isEstimated = false;
    record.presence = server_presence::Left;
    record.presenceSince = now;
    giveTagToFirst(record.tag, now);
}

} // namespace shallotcove::steering
