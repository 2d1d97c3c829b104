#include <shallotcove/steering/server_capacity.hpp>

#include <algorithm>

#include <shallotcove/steering/server_record.hpp>

namespace shallotcove::steering {

void refreshNeighbourFlows(server_record& server, core::timestamp now)
{
    server_capacity& capacity = server.capacity;
    capacity.neighbourLoad.advance(now, capacity.serviceTime);
    capacity.neighbourFlows
        = capacity.areReportsComplete ? capacity.neighbourLoad.value() : server.neighbourFlows;
}

double requestsInProgress(const server_record& server)
{
    if (!server.capacity.isEstimated)
        return server.openFlows + server.neighbourFlows + server.remoteFlows;
    return server.openFlows + server.capacity.neighbourFlows + server.remoteFlows;
}

double effectiveSlots(const server_record& server)
{
    const double slots = std::max(1U, server.entry.slots);
    return server.capacity.isEstimated ? slots / server.capacity.slowness : slots;
}

} // namespace shallotcove::steering
