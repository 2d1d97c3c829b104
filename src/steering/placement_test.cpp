#include "steering_fixture.hpp"

#include <criterion/criterion.h>

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

/// One of thirty hosts that exchange loads rarely, before the servers 1 to 3 of their data centre.
steering_engine hostOfMany(std::size_t index)
{
    steering_engine engine(optionsOf());
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
    for (const char* const id : { "i-1", "i-2", "i-3" })
        engine.applyServer(serverEntry(id), at(0));
    engine.setInformed(true);
    engine.setHosts({ 1, 2, 3 }, 1, 29);
    engine.setPosition({ index, 30 });
    engine.setLoadInterval(std::chrono::milliseconds { 300 });
    return engine;
}

} // namespace

// Guards against hosts that keep to a part of the servers of which none can be used: flows would wait in vain
// beside idle servers.
Test(placement, subsets_contain_only_usable_servers)
{
    for (std::size_t index = 0; index < 30; ++index) {
        steering_engine draining = hostOfMany(index);
        steering_engine silent = hostOfMany(index);
        for (const char* const id : { "i-1", "i-2" }) {
            server_entry entry = serverEntry(id);
            entry.state = server_state::Draining;
            draining.applyServer(entry, at(1));
        }
        cr_assert(draining.handlePacket(opening(1), at(2)).tag == tagOf("i-3"), "host %zu", index);
        // Nobody answers for the first two, until they are suspect.
        for (std::uint16_t port = 1; port <= 40; ++port) {
            const double now = 400.0 * port;
            const server_tag tag = silent.handlePacket(opening(port), at(now)).tag;
            if (tag == tagOf("i-3"))
                silent.handlePacket(following(port, tag, 0, true), at(now + 8));
            for (const delayed_offer& offer : silent.advance(at(now + 60))) {
                if (offer.decision.tag == tagOf("i-3"))
                    silent.handlePacket(following(port, offer.decision.tag, 0, true), at(now + 68));
            }
            silent.takeLoads();
            silent.advance(at(now + 300));
        }
        silent.handlePacket(opening(100), at(17000));
        cr_assert(!silent.hasWaiting(), "host %zu", index);
    }
}
