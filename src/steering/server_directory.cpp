#include <shallotcove/steering/server_directory.hpp>

#include <algorithm>

#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

server_directory::server_directory(const steering_options& options)
    : m_doubtAfterRemoval(options.doubtAfterRemoval)
    , m_memory(options.memoryOfServers)
{
}

bool server_directory::apply(const server_entry& entry, core::timestamp now)
{
    const server_tag tag = tagOf(entry.id);
    const auto [found, isNew] = m_records.try_emplace(tag);
    server_record& record = found->second;
    // The tag stays with the server that has it: packets of its open flows carry it.
    if (!isNew && record.entry.id != entry.id)
        return false;
    const std::string formerService = record.entry.service;
    const bool hasRestarted = !isNew && record.entry.startedAtMs != entry.startedAtMs;
    if (isNew || hasRestarted || record.presence == server_presence::Left)
        record.evidence.reset();
    if (isNew || record.presence != server_presence::Listed) {
        record.presence = server_presence::Listed;
        record.presentSince = now;
    }
    record.tag = tag;
    record.entry = entry;
    record.coldUntil = now + entry.coldFor;
    if (formerService != entry.service)
        rebuildService(formerService);
    rebuildService(entry.service);
    return true;
}

void server_directory::remove(std::string_view serverId, bool isDoubtful, core::timestamp now)
{
    server_record* const record = find(tagOf(serverId));
    if (record == nullptr || record->entry.id != serverId || record->presence != server_presence::Listed)
        return;
    // A draining server was about to leave, so there is no doubt.
    if (!isDoubtful || record->entry.state == server_state::Draining)
        return leave(*record, now);
    record->presence = server_presence::Doubtful;
    record->presentSince = now;
}

void server_directory::expire(core::timestamp now)
{
    for (auto& [tag, record] : m_records) {
        if (record.presence == server_presence::Doubtful && now - record.presentSince >= m_doubtAfterRemoval)
            leave(record, now);
    }
    std::erase_if(m_records, [this, now](const auto& known) {
        return known.second.presence == server_presence::Left && now - known.second.presentSince >= m_memory;
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

std::size_t server_directory::countIn(std::string_view dataCentre) const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [&](const auto& known) {
        return known.second.presence != server_presence::Left && known.second.entry.dataCentre == dataCentre;
    }));
}

void server_directory::rebuildService(const std::string& service)
{
    std::vector<server_record*> servers;
    for (auto& [tag, record] : m_records) {
        if (record.entry.service == service && record.presence != server_presence::Left)
            servers.push_back(&record);
    }
    std::sort(servers.begin(), servers.end(),
        [](const server_record* left, const server_record* right) { return left->tag < right->tag; });
    if (servers.empty())
        m_services.erase(service);
    else
        m_services[service] = std::move(servers);
}

void server_directory::leave(server_record& record, core::timestamp now)
{
    record.presence = server_presence::Left;
    record.presentSince = now;
    rebuildService(record.entry.service);
}

} // namespace shallotcove::steering
