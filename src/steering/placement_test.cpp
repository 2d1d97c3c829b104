#include "steering_fixture.hpp"

#include <criterion/criterion.h>

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

/// One of thirty hosts with a long load report interval, whose data centre has the servers 1 to 3.
steering_engine hostOfMany(std::size_t index)
{
    steering_engine engine(optionsOf());
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
    for (const char* const id : { "i-1", "i-2", "i-3" })
        engine.applyServer(serverEntry(id), at(0));
    engine.setViewComplete(true);
    engine.setHosts({ 1, 2, 3 }, 1, 29);
    engine.setPosition({ index, 30 });
    engine.setLoadReportInterval(std::chrono::milliseconds { 300 });
    return engine;
}

} // namespace

// While loads are stale, each host uses a subset of the servers. If the subset held only servers that are
// draining or suspect, flows would wait although other servers are idle.
Test(placement, subsets_contain_only_usable_servers)
{
    for (std::size_t index = 0; index < 30; ++index) {
        steering_engine withDraining = hostOfMany(index);
        steering_engine withUnresponsive = hostOfMany(index);
        for (const char* const id : { "i-1", "i-2" }) {
            server_entry entry = serverEntry(id);
            entry.state = server_state::Draining;
            withDraining.applyServer(entry, at(1));
        }
        cr_assert(withDraining.handlePacket(openingPacket(1), at(2)).tag == tagOf("i-3"), "host %zu", index);
        // Servers 1 and 2 do not answer until they are suspect.
        for (std::uint16_t port = 1; port <= 40; ++port) {
            const double now = 400.0 * port;
            const server_tag tag = withUnresponsive.handlePacket(openingPacket(port), at(now)).tag;
            if (tag == tagOf("i-3"))
                withUnresponsive.handlePacket(laterPacket(port, tag, 0, true), at(now + 8));
            for (const delayed_offer& offer : withUnresponsive.advance(at(now + 60))) {
                if (offer.decision.tag == tagOf("i-3"))
                    withUnresponsive.handlePacket(
                        laterPacket(port, offer.decision.tag, 0, true), at(now + 68));
            }
            withUnresponsive.takeLoads();
            withUnresponsive.advance(at(now + 300));
        }
        withUnresponsive.handlePacket(openingPacket(100), at(17000));
        cr_assert(!withUnresponsive.hasWaitingFlows(), "host %zu", index);
    }
}
