#include <shallotcove/steering/steering_engine.hpp>

#include <algorithm>
#include <optional>
#include <utility>

#include <shallotcove/steering/room_context.hpp>
#include <shallotcove/steering/routing_config.hpp>

namespace shallotcove::steering {

namespace {

    constexpr std::chrono::milliseconds minimumRefreshInterval { 50 };
    // A refresh takes about 0.1 us for each server, so that it uses at most a thousandth of a core, also with
    // thousands of servers.
    constexpr std::chrono::microseconds refreshIntervalPerServer { 100 };
    // Servers with fewer recent answers are not used for comparisons.
    constexpr double minimumComparedAnswers = 2;
    // Other servers needed for a comparison include at least one that is not slow.
    constexpr std::size_t minimumComparedServers = 2;

    /// Median of the servers' mean answer times by data centre, none where too few servers answered. Requests
    /// wait alike at all servers of a service that is short of capacity, and take alike longer in a distant
    /// data centre, so that both raise the median and make no server slow. Of two servers, the faster one is
    /// taken.
    std::vector<std::optional<double>> referenceLogs(
        std::span<server_record* const> servers, std::size_t dataCentres, core::timestamp now)
    {
        std::vector<std::vector<double>> logs(dataCentres);
        for (const server_record* const server : servers) {
            if (server->capacity.speed.weight(now) >= minimumComparedAnswers)
                logs[server->dataCentreIndex].push_back(server->capacity.speed.meanLog());
        }
        std::vector<std::optional<double>> result(dataCentres);
        for (std::size_t index = 0; index < dataCentres; ++index) {
            std::vector<double>& values = logs[index];
            if (values.size() < minimumComparedServers)
                continue;
            const auto median = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
            std::nth_element(values.begin(), median, values.end());
            result[index] = *median;
        }
        return result;
    }

} // namespace

core::duration steering_engine::expectedWork(
    const flow_record& record, const std::string& service, core::timestamp now)
{
    const core::duration mean = waitingFlowsOf(service).serviceTime();
    const route* const target = findRoute(record.opening.flow);
    return target == nullptr ? mean
                             : std::chrono::duration_cast<core::duration>(
                                 mean * m_admissionPolicy.relativeWork(service, *target, m_options, now));
}

void steering_engine::recordSpeed(server_record& server, const flow_record& record, core::timestamp now)
{
    if (!server.capacity.isEstimated)
        return;
    // Requests ahead of this one that the host knows of are no sign of a slow server. This request is no
    // longer included in the load.
    const double queue = std::max(1.0, (requestsInProgress(server) + 1) / std::max(1U, server.entry.slots));
    const std::chrono::duration<double> elapsed = now - record.requestedAt;
    const std::chrono::duration<double> expected = expectedWork(record, server.entry.service, now);
    if (expected > core::duration::zero())
        server.capacity.speed.record(elapsed / (expected * queue), now);
}

void steering_engine::refreshCapacity(core::timestamp now)
{
    if (now < m_nextCapacityRefreshAt)
        return;
    std::size_t servers = 0;
    for (auto entry = m_lastLongFlowRequest.begin(); entry != m_lastLongFlowRequest.end();) {
        const std::string& service = entry->first;
        if (hasLongFlows(service, now)) {
            servers += m_servers.serversOf(service).size();
            refreshCapacityOf(service, now);
            ++entry;
            continue;
        }
        for (server_record* const server : m_servers.serversOf(service))
            server->capacity.isEstimated = false;
        m_rooms.erase(service);
        m_roomStates.erase(service);
        entry = m_lastLongFlowRequest.erase(entry);
    }
    m_nextCapacityRefreshAt
        = now + std::max<core::duration>(minimumRefreshInterval, servers * refreshIntervalPerServer);
}

void steering_engine::refreshCapacityOf(const std::string& service, core::timestamp now)
{
    const std::vector<server_record*>& servers = m_servers.serversOf(service);
    const core::duration serviceTime = waitingFlowsOf(service).serviceTime();
    const std::vector<std::optional<double>> references
        = referenceLogs(servers, m_servers.dataCentres().size(), now);
    for (server_record* const server : servers) {
        server_capacity& capacity = server->capacity;
        if (!std::exchange(capacity.isEstimated, true))
            capacity.estimatedSince = now;
        capacity.serviceTime = serviceTime;
        capacity.areReportsComplete = now - capacity.estimatedSince >= m_neighbourHistory.lifetime();
        const std::optional<double>& reference = references[server->dataCentreIndex];
        capacity.ownSlowness = reference ? capacity.speed.ownSlowness(*reference, now) : 1;
        capacity.slowness = capacity.speed.slowness(reference, now);
        refreshNeighbourFlows(*server, now);
    }
    const auto rules = m_serviceRules.find(service);
    const room_context context { m_servers.dataCentres(), m_dataCentresOut, m_dataCentreEvidence,
        rules == m_serviceRules.end() ? 0.0 : rules->second.coldFlowsPerSecond, serviceTime,
        m_options.maximumUnansweredShare, now };
    std::vector<service_room>& rooms = m_rooms[service];
    rooms = measureRoom(servers, context);
    for (const service_room& room : rooms) {
        const room_change change = m_roomStates[service][room.dataCentre].update(room, now);
        if (change != room_change::None)
            addRoomEvent(change, service, room, now);
    }
}

void steering_engine::addRoomEvent(
    room_change change, const std::string& service, const service_room& room, core::timestamp now)
{
    steering_event event = eventOf(change == room_change::BecameFull ? steering_event_kind::ServiceFull
                                                                     : steering_event_kind::ServiceFree,
        {}, nullptr, now);
    event.subject = service;
    event.dataCentre = room.dataCentre;
    event.usableSlots = room.usableSlots;
    event.requestsInProgress = room.requestsInProgress;
    for (const server_record* const server : m_servers.serversOf(service)) {
        if (server->entry.dataCentre != room.dataCentre)
            continue;
        event.permitted += server->entry.state == server_state::Ready ? 1 : 0;
        event.trusted += !server->evidence.isSuspect() && !server->answers.isSuspect(now) ? 1 : 0;
        event.slowServers += server->capacity.slowness > 1 ? 1 : 0;
    }
    addEvent(std::move(event));
}

const std::vector<service_room>& steering_engine::roomOf(std::string_view service) const
{
    static const std::vector<service_room> none;
    const auto found = m_rooms.find(service);
    return found == m_rooms.end() ? none : found->second;
}

} // namespace shallotcove::steering
