#pragma once

#include <string>
#include <vector>

#include <shallotcove/steering/service_room.hpp>

namespace shallotcove::daemon {

struct reported_room {
    std::string service;
    steering::service_room room;
};

/// Room of all services with long flows, reported to the metrics.
struct room_report {
    std::vector<reported_room> rooms;
};

} // namespace shallotcove::daemon
