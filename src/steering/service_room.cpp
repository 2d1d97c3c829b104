#include <shallotcove/steering/service_room.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

#include <shallotcove/steering/room_context.hpp>
#include <shallotcove/steering/server_record.hpp>

namespace shallotcove::steering {

namespace {

    bool isUsable(const std::string& dataCentre, const room_context& context)
    {
        const auto found = context.evidence.find(dataCentre);
        return !context.dataCentresOut.contains(dataCentre)
            && (found == context.evidence.end() || !found->second.isSuspect());
    }

    bool isUsable(const server_record& server, bool areTimeoutsConclusive, const room_context& context)
    {
        return server.entry.state == server_state::Ready && !server.evidence.isSuspect()
            && !(areTimeoutsConclusive && server.answers.isSuspect(context.now));
    }

    double usableSlots(const server_record& server, const room_context& context)
    {
        const double slots = effectiveSlots(server);
        if (context.now >= server.coldUntil || context.coldFlowsPerSecond <= 0)
            return slots;
        // As many requests are in progress as arrive during the time of one.
        const std::chrono::duration<double> serviceTime = context.serviceTime;
        return std::min(slots, context.coldFlowsPerSecond * serviceTime.count());
    }

    struct data_centre_room {
        bool isUsable {};
        service_room room;
    };

} // namespace

std::vector<service_room> measureRoom(std::span<server_record* const> servers, const room_context& context)
{
    std::vector<std::optional<data_centre_room>> rooms(context.dataCentres.size());
    const std::ptrdiff_t unanswering = std::count_if(servers.begin(), servers.end(),
        [&](const server_record* server) { return server->answers.isSuspect(context.now); });
    const bool areTimeoutsConclusive = static_cast<double>(unanswering)
        <= context.maximumUnansweredShare * static_cast<double>(servers.size());
    for (const server_record* const server : servers) {
        std::optional<data_centre_room>& entry = rooms[server->dataCentreIndex];
        if (!entry) {
            const std::string& name = context.dataCentres[server->dataCentreIndex];
            entry = data_centre_room { isUsable(name, context), { name } };
        }
        if (!entry->isUsable || !isUsable(*server, areTimeoutsConclusive, context))
            continue;
        const double slots = usableSlots(*server, context);
        const double requests = requestsInProgress(*server);
        entry->room.usableSlots += slots;
        entry->room.requestsInProgress += requests;
        entry->room.freeSlots += std::max(0.0, slots - requests);
    }
    std::vector<service_room> result;
    for (std::optional<data_centre_room>& entry : rooms) {
        if (entry)
            result.push_back(std::move(entry->room));
    }
    std::sort(result.begin(), result.end(), [](const service_room& left, const service_room& right) {
        return left.dataCentre < right.dataCentre;
    });
    return result;
}

} // namespace shallotcove::steering
