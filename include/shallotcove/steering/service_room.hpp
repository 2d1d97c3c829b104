#pragma once

#include <span>
#include <string>
#include <vector>

namespace shallotcove::steering {

struct room_context;
struct server_record;

/// Capacity of the servers of one service in one data centre.
struct service_room {
    std::string dataCentre;
    /// Slots of the servers that may get new flows. Of slow servers, and of cold ones with a limit, only a
    /// part counts.
    double usableSlots {};
    /// Requests in progress at these servers, of this host, its neighbours and other data centres.
    double requestsInProgress {};
    /// Slots without a request. Requests beyond the slots of one server do not use the slots of another.
    double freeSlots {};

    friend bool operator==(const service_room&, const service_room&) = default;
};

/// Returns the room in each data centre that has servers of the service, sorted by name.
std::vector<service_room> measureRoom(std::span<server_record* const> servers, const room_context&);

} // namespace shallotcove::steering
