#include "scenario_table.hpp"

namespace shallotcove::testbench {

std::vector<scenario> allScenarios()
{
    using enum change_kind;
    return {
        { "no change", {} },
        { "drain", { { 15, DrainServer, 3 } } },
        { "join cold", { { 15, AddServer, 0 } } },
        { "weight change", { { 15, HalveWeight, 5 } } },
        { "server turns cold", { { 15, ServerTurnsCold, 4 } } },
        { "host lost", { { 15, LoseHost, 4 } } },
        { "host replaced", { { 15, LoseHost, 4 }, { 20, StartHost, 4 } } },
        { "two hosts lost", { { 15, LoseHost, 4 }, { 15, LoseHost, 7 } } },
        { "host lost and drain", { { 15, DrainServer, 3 }, { 15, LoseHost, 4 } } },
        { "data centre out and back", { { 15, DataCentreOut, 1 }, { 30, DataCentreIn, 1 } } },
        { "partition", { { 15, Partition, 2 }, { 30, Heal, 2 } } },
        { "partition and drain", { { 15, Partition, 2 }, { 22, DrainServer, 3 }, { 30, Heal, 2 } } },
        { "overlapping changes",
            { { 15, DrainServer, 3 }, { 16, AddServer, 0 }, { 17, HalveWeight, 5 }, { 19, LoseHost, 4 },
                { 22, DrainServer, 8 }, { 24, StartHost, 4 } } },
        { "steady load, 14 servers", {}, 14, 180, 120 },
        { "steady load, 4 servers", {}, 4, 180, 120 },
        { "slow server, 14 servers", { { 0, SlowServer, 5 } }, 14, 180, 60 },
        { "slow server, 4 servers", { { 0, SlowServer, 2 } }, 4, 180, 60 },
        { "capacity halves, 14", { { 30, HalveCapacity, 5 } }, 14, 60, 10 },
        { "capacity halves, 4", { { 30, HalveCapacity, 2 } }, 4, 60, 10 },
    };
}

} // namespace shallotcove::testbench
