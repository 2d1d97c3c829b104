// Case 6: a consumer uses an address pair again some seconds after its last flow. A host that saw a part of
// the earlier flow, and not its end, sends the packets of the new flow to the endpoint of the earlier one.

#include "world.hpp"

#include <cstdlib>
#include <cstring>

int main()
{
    const char* const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    review::world_options options;
    options.hosts = { { "buc-a", 3 }, { "buc-b", 3 }, { "buc-c", 2 } };
    options.services = { { "rezervari", 2.0, 0.0 } };
    options.routes = { { "hold", 443, "unsafe", 1500, 250, 1, "rezervari" } };
    options.portsPerConsumer = 32;
    review::world world(options);
    const char* const ids[] = { "i-0a41c2f7", "i-1b93de05", "i-2c75aa16", "i-3d08f1b2", "i-4e6c7d90",
        "i-5f12b3c8", "i-60a7e4d1", "i-71fb0592", "i-8249c6e3", "i-93d0172a", "i-a4be385f", "i-b517d960",
        "i-c6e2fa41", "i-d70e4b13" };
    const char* const zones[] = { "buc-a", "buc-b", "buc-c" };
    int index = 0;
    for (const char* const id : ids)
        world.startEndpoint({ id, "rezervari", zones[index++ % 3], 3, 12, 52 }, false);
    if (!world.startHosts()) {
        world.record("the hosts are not ready");
        return 2;
    }
    const double start = review::now();
    // Flows with four requests and pauses of 0.4 s, from 12 consumers: each uses a port again after some 4 s.
    world.startTraffic("hold", 100, 4, 400);
    // roll_term: one host of each zone, 1.3 s after each other; the same hosts once more 5 s later. Then the
    // next host of each zone, twice.
    const std::size_t rounds[][3] = { { 0, 3, 6 }, { 1, 4, 7 }, { 2, 5, 6 } };
    for (int round = 0; hasTrouble && round < 3; ++round) {
        for (int again = 0; again < 2; ++again) {
            for (int each = 0; each < 3; ++each) {
                const std::size_t host = rounds[round][each];
                world.at(start + 6000 + 12000.0 * round + 5000.0 * again + 1300.0 * each,
                    [&world, host] { world.restartHost(host); });
            }
        }
    }
    world.at(start + 44000, [&] { world.stopTraffic(); });
    world.runUntil(start + 48000);

    const review::world::totals& seen = world.seen();
    world.record("flows %zu, opened %zu, requests %zu, answered %zu, refused %zu, rejected %zu, lost %zu",
        seen.flows, seen.opened, seen.requests, seen.answered, seen.refused, seen.rejected, seen.lost);
    std::size_t cutOff = 0;
    for (const auto& each : world.foreignResets())
        cutOff += each.wasRequestUnanswered ? 1 : 0;
    world.record("repeated runs %zu, damaged packets %zu, hosts that ended by themselves %zu",
        seen.repeatedRuns, seen.damagedPackets, seen.hostsThatEnded);
    world.record(
        "FLOW (a): %zu open flows reset by another endpoint than their own, %zu of them with a request "
        "that had no answer",
        world.foreignResets().size(), cutOff);
    if (seen.answered < 2000) {
        world.record("too little was served to judge");
        return 2;
    }
    return world.foreignResets().empty() ? 0 : 1;
}
