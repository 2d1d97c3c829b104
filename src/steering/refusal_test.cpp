#include "steering_fixture.hpp"

#include <criterion/criterion.h>

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

/// An engine whose servers have no room, so that a flow from port 100 waits.
steering_engine fullEngine()
{
    steering_engine engine = informedEngine();
    forwardedOf(engine, 1, 60, 0);
    return engine;
}

/// What becomes of the flow from port 100 until it is settled; none if nothing is sent for it.
std::vector<delayed_offer> outcomeOf(steering_engine& engine, double from, double until)
{
    std::vector<delayed_offer> outcome;
    for (double now = from; now <= until; now += 10) {
        // Neighbours keep the servers full.
        load_report loads;
        for (int number = 1; number <= 6; ++number)
            loads.push_back({ tagOf("i-" + std::to_string(number)), 50 });
        engine.applyNeighbourLoads(7, loads, at(now));
        for (std::vector<delayed_offer> offers : { engine.startWaiting(at(now)), engine.advance(at(now)) }) {
            for (const delayed_offer& offer : offers) {
                if (offer.opening.flow == flowOf(100) && offer.decision.action != packet_action::Drop)
                    outcome.push_back(offer);
            }
        }
    }
    return outcome;
}

} // namespace

// Guards against a refusal of a flow that another host opened: the routers moved its caller while it waited
// here, as at a planned stop, so that a copy of its first packet went there.
Test(refusal, flow_whose_copies_reached_another_host_is_not_refused)
{
    steering_engine engine = fullEngine();
    cr_assert(engine.handlePacket(opening(100), at(0)).reason == packet_reason::Waiting);
    cr_assert(outcomeOf(engine, 10, 1500).empty());
    cr_assert(!engine.hasWaiting());
}

// Guards against callers that hear nothing although nobody else can have opened their flows.
Test(refusal, flow_whose_copies_reached_this_host_is_refused)
{
    steering_engine engine = fullEngine();
    engine.handlePacket(opening(100), at(0));
    std::vector<delayed_offer> outcome = outcomeOf(engine, 10, 190);
    engine.handlePacket(opening(100, 1), at(200));
    for (const delayed_offer& offer : outcomeOf(engine, 200, 590))
        outcome.push_back(offer);
    if (outcome.empty())
        engine.handlePacket(opening(100, 2), at(600));
    for (const delayed_offer& offer : outcomeOf(engine, 600, 1500))
        outcome.push_back(offer);
    cr_assert(outcome.size() == 1 && outcome[0].decision.action == packet_action::Refuse);
}

// Guards against a refusal that meets an open flow: an earlier copy of its first packet went through a host
// that the routers use no longer.
Test(refusal, retransmitted_opening_is_refused_only_without_later_packets)
{
    for (const bool isOpenAtAnotherHost : { true, false }) {
        steering_engine engine = informedEngine();
        cr_assert(engine.handlePacket(opening(100, 1, 80), at(200)).action == packet_action::Drop);
        cr_assert(engine.hasUndecided());
        if (isOpenAtAnotherHost) {
            caller_packet request = following(100, tagOf("i-5"), 300);
            request.flow = flowOf(100, 80);
            cr_assert(engine.handlePacket(request, at(210)).tag == tagOf("i-5"));
        }
        std::size_t refused = 0;
        for (const delayed_offer& offer : engine.advance(at(231)))
            refused += offer.decision.action == packet_action::Refuse ? 1 : 0;
        cr_assert_eq(refused, isOpenAtAnotherHost ? 0 : 1);
        cr_assert(!engine.hasUndecided());
    }
}

// Guards against refusals that wait although nobody else can have forwarded the flow.
Test(refusal, first_copy_is_refused_at_once)
{
    steering_engine engine = informedEngine();
    cr_assert(engine.handlePacket(opening(100, 0, 80), at(0)).action == packet_action::Refuse);
}
