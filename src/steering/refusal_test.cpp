#include "steering_fixture.hpp"

#include <criterion/criterion.h>

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

/// An engine whose servers have no room, so that a flow from port 100 has to wait.
steering_engine fullEngine()
{
    steering_engine engine = engineWithCompleteView();
    countForwarded(engine, 1, 60, 0);
    return engine;
}

/// Collects the decisions to forward or refuse the flow from port 100 in an interval.
std::vector<delayed_offer> outcomeOf(steering_engine& engine, double from, double until)
{
    std::vector<delayed_offer> outcome;
    for (double now = from; now <= until; now += 10) {
        // The reports of a neighbour keep the servers full.
        load_report loads;
        for (int number = 1; number <= 6; ++number)
            loads.push_back({ tagOf("i-" + std::to_string(number)), 50 });
        engine.applyNeighbourLoads(7, loads, at(now));
        for (std::vector<delayed_offer> offers :
            { engine.placeWaitingFlows(at(now)), engine.advance(at(now)) }) {
            for (const delayed_offer& offer : offers) {
                if (offer.opening.flow == flowOf(100) && offer.decision.action != packet_action::Drop)
                    outcome.push_back(offer);
            }
        }
    }
    return outcome;
}

} // namespace

// While a flow waits here, routers can move its caller to another host, for example at a planned stop. The
// caller's retransmissions then open the flow there, and it must not be refused here.
Test(refusal, flow_whose_copies_reached_another_host_is_not_refused)
{
    steering_engine engine = fullEngine();
    cr_assert(engine.handlePacket(openingPacket(100), at(0)).reason == packet_reason::Waiting);
    cr_assert(outcomeOf(engine, 10, 1500).empty());
    cr_assert(!engine.hasWaitingFlows());
}

// If all retransmissions arrived here, no other host can have opened the flow, so its caller must get a
// refusal.
Test(refusal, flow_whose_copies_reached_this_host_is_refused)
{
    steering_engine engine = fullEngine();
    engine.handlePacket(openingPacket(100), at(0));
    std::vector<delayed_offer> outcome = outcomeOf(engine, 10, 190);
    engine.handlePacket(openingPacket(100, 1), at(200));
    for (const delayed_offer& offer : outcomeOf(engine, 200, 590))
        outcome.push_back(offer);
    if (outcome.empty())
        engine.handlePacket(openingPacket(100, 2), at(600));
    for (const delayed_offer& offer : outcomeOf(engine, 600, 1500))
        outcome.push_back(offer);
    cr_assert(outcome.size() == 1 && outcome[0].decision.action == packet_action::Refuse);
}

// An earlier copy of an opening packet may have gone through a host that the routers no longer use. A later
// copy must be refused only if no packet shows that the flow is open.
Test(refusal, retransmitted_opening_is_refused_only_without_later_packets)
{
    for (const bool isOpenAtAnotherHost : { true, false }) {
        steering_engine engine = engineWithCompleteView();
        cr_assert(engine.handlePacket(openingPacket(100, 1, 80), at(200)).action == packet_action::Drop);
        cr_assert(engine.hasPendingDecisions());
        if (isOpenAtAnotherHost) {
            caller_packet request = laterPacket(100, tagOf("i-5"), 300);
            request.flow = flowOf(100, 80);
            cr_assert(engine.handlePacket(request, at(210)).tag == tagOf("i-5"));
        }
        std::size_t refused = 0;
        for (const delayed_offer& offer : engine.advance(at(231)))
            refused += offer.decision.action == packet_action::Refuse ? 1 : 0;
        cr_assert_eq(refused, isOpenAtAnotherHost ? 0 : 1);
        cr_assert(!engine.hasPendingDecisions());
    }
}

// The first copy of an opening packet cannot have gone through another host, so it must be refused without
// delay.
Test(refusal, first_copy_is_refused_at_once)
{
    steering_engine engine = engineWithCompleteView();
    cr_assert(engine.handlePacket(openingPacket(100, 0, 80), at(0)).action == packet_action::Refuse);
}
