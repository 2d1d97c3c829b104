// Case 7: a host that is stopped and started under planned work sends open flows to another endpoint, because
// the ids of two endpoints have the same 32-bit tag and the hosts do not agree on which of them has it.

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
    review::world world(options);

    // Two ids whose XXH64, folded to 32 bits, is 39991b6a. The first one runs from the start, the second one
    // is added later and is older than the first one's last entry.
    constexpr const char* firstId = "i-cdba398f";
    constexpr const char* secondId = "i-985c5679";
    const char* const others[]
        = { "i-0a41c2f7", "i-1b93de05", "i-2c75aa16", "i-3d08f1b2", "i-4e6c7d90", "i-5f12b3c8", "i-60a7e4d1",
              "i-71fb0592", "i-8249c6e3", "i-93d0172a", "i-a4be385f", "i-b517d960", "i-c6e2fa41" };
    const char* const zones[] = { "buc-a", "buc-b", "buc-c" };
    world.startEndpoint({ firstId, "rezervari", "buc-a", 3, 12, 40 }, false);
    int index = 0;
    for (const char* const id : others)
        world.startEndpoint({ id, "rezervari", zones[index++ % 3], 3, 12, 40 }, false);
    if (!world.startHosts()) {
        world.record("the hosts are not ready");
        return 2;
    }
    const double start = review::now();
    // Flows that are kept open for six requests with pauses of 1 s between them.
    world.startTraffic("hold", 40, 6, 1000);
    // scale_out: one more endpoint.
    world.at(start + 4000, [&] { world.startEndpoint({ secondId, "rezervari", "buc-a", 3, 12, 40 }, true); });
    // The first one starts again under its id, so that its entry in the store is newer than that of the
    // second.
    world.at(start + 8000, [&] { world.crashEndpoint(firstId); });
    world.at(start + 8300, [&] { world.startEndpoint({ firstId, "rezervari", "buc-a", 3, 12, 40 }, true); });
    // roll_term: 0.45 of the hosts, one at a time, 1.3 s between them, as armonia-central names it.
    if (hasTrouble) {
        for (std::size_t host = 0; host < 4; ++host)
            world.at(start + 14000 + 1300.0 * static_cast<double>(host),
                [&world, host] { world.restartHost(host); });
    }
    world.at(start + 26000, [&] { world.stopTraffic(); });
    world.runUntil(start + 31000);

    std::size_t atFirst = 0;
    std::size_t atSecond = 0;
    for (const auto& each : world.openings()) {
        atFirst += each.endpoint == firstId ? 1 : 0;
        atSecond += each.endpoint == secondId ? 1 : 0;
    }
    const review::world::totals& seen = world.seen();
    world.record("flows %zu, opened %zu, requests %zu, answered %zu, refused %zu, rejected %zu, lost %zu",
        seen.flows, seen.opened, seen.requests, seen.answered, seen.refused, seen.rejected, seen.lost);
    world.record("opening packets at %s: %zu, at %s: %zu", firstId, atFirst, secondId, atSecond);
    std::size_t cutOff = 0;
    for (const auto& each : world.foreignResets())
        cutOff += each.wasRequestUnanswered ? 1 : 0;
    world.record("repeated runs %zu, damaged packets %zu, hosts that ended by themselves %zu",
        seen.repeatedRuns, seen.damagedPackets, seen.hostsThatEnded);
    world.record(
        "FLOW (a): %zu open flows reset by another endpoint than their own, %zu of them with a request "
        "that had no answer",
        world.foreignResets().size(), cutOff);
    if (seen.answered < 500) {
        world.record("too little was served to judge");
        return 2;
    }
    return world.foreignResets().empty() ? 0 : 1;
}
