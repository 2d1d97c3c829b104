#pragma once

#include <cstdint>
#include <vector>

#include <shallotcove/core/time.hpp>

namespace shallotcove::testbench {

enum class change_kind : std::uint8_t {
    DrainServer,
    /// Adds a cold backend server.
    AddServer,
    /// Halves a server's weight and with it the capacity that the simulation assumes.
    HalveWeight,
    /// A backend server turns cold without a change of the configuration.
    ServerTurnsCold,
    /// Halves a server's capacity without a change of the configuration: it accepts half as many new flows.
    HalveCapacity,
    /// Doubles the duration of new flows of a server.
    SlowServer,
    LoseHost,
    /// Restarts a lost host without state.
    StartHost,
    /// Takes a data centre out; the target is its number.
    DataCentreOut,
    DataCentreIn,
    /// Partitions the hosts of a data centre from the other hosts and from the store.
    Partition,
    Heal,
};

/// A change at a time after the start of the traffic. The target is the id of a server or the number of a
/// host or data centre.
struct scenario_change {
    std::uint32_t atSecond {};
    change_kind kind { change_kind::DrainServer };
    std::uint32_t target {};

    friend bool operator==(const scenario_change&, const scenario_change&) = default;
};

struct scenario {
    const char* name;
    std::vector<scenario_change> changes;
    std::uint32_t servers { 14 };
    std::uint32_t trafficSeconds { 60 };
    /// Seconds at the end over which the imbalance is averaged.
    std::uint32_t measuredSeconds { 10 };

    friend bool operator==(const scenario&, const scenario&) = default;
};

std::vector<scenario> allScenarios();

} // namespace shallotcove::testbench
