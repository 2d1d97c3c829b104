#pragma once

#include <cstdint>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/aged_load.hpp>
#include <shallotcove/steering/server_speed.hpp>

namespace shallotcove::steering {

struct server_record;

/// Estimates about one server. Kept for services with long flows only.
struct server_capacity {
    /// Whether the service has long flows. All other members are unused while it is false.
    bool isEstimated {};
    core::timestamp estimatedSince;
    /// Whether all neighbours have reported since then. Before, their last reports count without ageing.
    bool areReportsComplete {};
    core::duration serviceTime {};
    server_speed speed;
    aged_load neighbourLoad;
    /// Results of the last refresh: requests of the neighbours in progress, slowness by the evidence of all
    /// hosts, and by that of this host alone.
    double neighbourFlows {};
    double slowness { 1 };
    double ownSlowness { 1 };
};

/// Updates the requests of the neighbours in progress from their reports.
void refreshNeighbourFlows(server_record&, core::timestamp now);
/// Requests in progress at the server, as far as this host knows.
double requestsInProgress(const server_record&);
/// Slots of the server, as if it had the speed of comparable servers.
double effectiveSlots(const server_record&);

} // namespace shallotcove::steering
