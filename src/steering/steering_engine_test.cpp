#include "steering_fixture.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

// Later packets of a flow must reach its server through any host, also one that has no record of the flow.
Test(steering_engine, later_packets_follow_the_tag_at_any_host)
{
    steering_engine first = engineWithCompleteView();
    steering_engine second = engineWithCompleteView(optionsOf("b"));
    const packet_decision placed = first.handlePacket(openingPacket(40001), at(0));
    cr_assert(placed.action == packet_action::Forward && placed.tag.value != 0);
    const packet_decision later = second.handlePacket(laterPacket(40001, placed.tag, 300), at(9));
    cr_assert(later.action == packet_action::Forward);
    cr_assert(later.server == placed.server && later.wireId == placed.wireId);
}

// A packet whose server is unknown must be dropped and not be answered with a reset: its flow may be open
// through another host.
Test(steering_engine, packets_without_a_known_server_are_dropped)
{
    steering_engine engine = engineWithCompleteView();
    for (const server_tag tag : { server_tag { 0 }, server_tag { 12345 } })
        cr_assert(engine.handlePacket(laterPacket(40001, tag, 10), at(0)).action == packet_action::Drop);
    caller_packet forged = openingPacket(40002);
    forged.isAcknowledging = true;
    cr_assert(engine.handlePacket(forged, at(0)).action == packet_action::Drop);
}

// A host must neither forward nor refuse opening packets before it knows the configuration and the servers.
Test(steering_engine, nothing_is_refused_before_the_configuration_is_known)
{
    steering_engine engine(optionsOf());
    cr_assert(engine.handlePacket(openingPacket(40001), at(0)).reason == packet_reason::NotReady);
    engine.applyConfig(configOf({}));
    cr_assert(engine.handlePacket(openingPacket(40001), at(1)).action == packet_action::Drop);
    engine.setViewComplete(true);
    const packet_decision refused = engine.handlePacket(openingPacket(40001), at(2));
    cr_assert(refused.action == packet_action::Refuse && refused.reason == packet_reason::NoRoute);
}

// If a server does not answer, its flow must be offered to another one before the caller's own retransmission
// after 200 ms.
Test(steering_engine, unresponsive_server_is_replaced_before_the_caller_repeats)
{
    steering_engine engine = engineWithCompleteView();
    const packet_decision first = engine.handlePacket(openingPacket(40001), at(0));
    cr_assert(engine.advance(at(10)).empty());
    const std::vector<delayed_offer> offers = engine.advance(at(60));
    cr_assert(offers.size() == 1 && offers[0].decision.action == packet_action::Forward);
    cr_assert(offers[0].decision.tag != first.tag && offers[0].opening == openingPacket(40001));
    // The retransmission of the caller goes to a third server.
    const packet_decision copy = engine.handlePacket(openingPacket(40001, 1), at(200));
    cr_assert(copy.tag != first.tag && copy.tag != offers[0].decision.tag);
}

// Packets of an open flow must go to the server that the caller acknowledged, not to the last one that the
// flow was offered to.
Test(steering_engine, first_acknowledgement_decides_between_two_servers)
{
    steering_engine engine = engineWithCompleteView();
    const packet_decision first = engine.handlePacket(openingPacket(40001), at(0));
    const std::vector<delayed_offer> offers = engine.advance(at(60));
    cr_assert(offers.size() == 1);
    cr_assert(engine.handlePacket(laterPacket(40001, first.tag), at(61)).tag == first.tag);
    // The answer of the second server arrived later and changed the tag that the caller repeats.
    cr_assert(engine.handlePacket(laterPacket(40001, offers[0].decision.tag, 100), at(62)).tag == first.tag);
    cr_assert(engine.handlePacket(openingPacket(40001, 1), at(201)).reason == packet_reason::StaleCopy);
}

// A server that does not answer must not get new flows again and again.
Test(steering_engine, suspect_server_gets_no_new_flows_until_a_trial_succeeds)
{
    steering_engine engine = engineWithCompleteView();
    // Without load, the first server in the order of this host gets every flow.
    const server_tag failedServer = engineWithCompleteView().handlePacket(openingPacket(1), at(0)).tag;
    int offeredToFailed = 0;
    double now = 0;
    for (std::uint16_t port = 1; port <= 50; ++port, now += 100) {
        server_tag tag = engine.handlePacket(openingPacket(port), at(now)).tag;
        double opened = now + 8;
        if (tag == failedServer) {
            ++offeredToFailed;
            opened = now + 65;
            const std::vector<delayed_offer> offers = engine.advance(at(now + 60));
            cr_assert(offers.size() == 1, "port %u", port);
            tag = offers[0].decision.tag;
        }
        engine.handlePacket(laterPacket(port, tag), at(opened));
        engine.handlePacket(laterPacket(port, tag, 0, true), at(now + 90));
    }
    // Two flows make the server suspect; trials follow after 1, 2 and then every 4 seconds.
    cr_assert(offeredToFailed >= 3 && offeredToFailed <= 5, "%d", offeredToFailed);
    cr_assert(engine.servers().find(failedServer)->evidence.isSuspect());
    // The server answers again: the next trial ends the suspicion.
    for (std::uint16_t port = 100; port <= 150; ++port, now += 100) {
        const server_tag tag = engine.handlePacket(openingPacket(port), at(now)).tag;
        engine.handlePacket(laterPacket(port, tag), at(now + 8));
        engine.handlePacket(laterPacket(port, tag, 0, true), at(now + 50));
    }
    cr_assert(!engine.servers().find(failedServer)->evidence.isSuspect());
}

// A caller that has given up or moved to another host does not acknowledge an answer. This must not count as
// a failure of the server.
Test(steering_engine, caller_that_gave_up_makes_no_server_suspect)
{
    steering_engine engine = engineWithCompleteView();
    for (std::uint16_t port = 1; port <= 20; ++port) {
        caller_packet late = openingPacket(port, 2);
        late.age = std::chrono::milliseconds { 1390 };
        engine.handlePacket(late, at(port));
    }
    engine.advance(at(300));
    for (int number = 1; number <= 6; ++number)
        cr_assert(!engine.servers().find(tagOf("i-" + std::to_string(number)))->evidence.isSuspect());
}

// During a pause of the host its callers continue through other hosts. Their silence must not count as a
// failure of servers.
Test(steering_engine, pause_of_the_host_makes_no_server_suspect)
{
    steering_engine engine = engineWithCompleteView();
    for (std::uint16_t port = 1; port <= 40; ++port)
        engine.handlePacket(openingPacket(port), at(0));
    cr_assert(engine.hasWaitingFlows());
    engine.handlePause(at(4000));
    cr_assert(engine.advance(at(4000)).empty() && !engine.hasWaitingFlows() && engine.flowCount() == 0);
    for (int number = 1; number <= 6; ++number) {
        const server_record* const server = engine.servers().find(tagOf("i-" + std::to_string(number)));
        cr_assert(!server->evidence.isSuspect() && server->openFlows == 0, "server %d", number);
    }
    cr_assert(engine.handlePacket(openingPacket(99), at(4001)).action == packet_action::Forward);
}

// A flow that waits here may be opened through another host. Its later packets must end the wait; the flow
// would otherwise be started here with an opening packet that has the checksum of another packet.
Test(steering_engine, waiting_flow_that_opened_elsewhere_is_not_started)
{
    steering_engine engine = engineWithCompleteView();
    std::vector<server_tag> tags;
    for (std::uint16_t port = 1; port <= 40; ++port)
        engine.handlePacket(openingPacket(port), at(0));
    cr_assert(engine.hasWaitingFlows());
    const packet_decision held = engine.handlePacket(openingPacket(100), at(1));
    cr_assert(held.reason == packet_reason::Waiting);
    const caller_packet request = laterPacket(100, tagOf("i-5"), 300);
    cr_assert(engine.handlePacket(request, at(5)).tag == tagOf("i-5"));
    for (double now = 6; now < 400; now += 5) {
        for (const delayed_offer& offer : engine.placeWaitingFlows(at(now)))
            cr_assert(offer.opening.isOpening && offer.opening.flow != request.flow);
        engine.advance(at(now));
    }
}

// If another server takes over the address of a server that left, packets of open flows must still be sent
// with the wire id of the old server, and new flows of its service must not go there.
Test(steering_engine, address_reused_by_another_service_keeps_flows_apart)
{
    steering_engine engine(optionsOf());
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
    engine.applyServer(serverEntry("i-1"), at(0));
    engine.setViewComplete(true);
    const server_tag tag = openFlow(engine, 40001, 0);
    server_entry draining = serverEntry("i-1");
    draining.state = server_state::Draining;
    engine.applyServer(draining, at(100));
    cr_assert(engine.handlePacket(openingPacket(40002), at(101)).reason == packet_reason::NoServer);
    engine.removeServer("i-1", true, at(200));
    server_entry successor = serverEntry("i-2", "a", "media");
    successor.address = draining.address;
    engine.applyServer(successor, at(2300));
    const packet_decision later = engine.handlePacket(laterPacket(40001, tag, 10), at(2400));
    cr_assert(later.action == packet_action::Forward && later.wireId == 1);
    cr_assert(engine.handlePacket(openingPacket(40003), at(2500)).reason == packet_reason::NoServer);
}

// A server that restarts under the same id must not inherit the evidence and load of its former run.
Test(steering_engine, restart_under_the_same_id_starts_without_a_record)
{
    steering_engine engine(optionsOf());
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
    engine.applyServer(serverEntry("i-1"), at(0));
    engine.setViewComplete(true);
    for (std::uint16_t port = 1; port <= 3; ++port)
        engine.handlePacket(openingPacket(port), at(0));
    engine.advance(at(100));
    cr_assert(engine.servers().find(tagOf("i-1"))->evidence.isSuspect());
    server_entry restarted = serverEntry("i-1");
    restarted.startedAtMs += 5000;
    engine.applyServer(restarted, at(200));
    cr_assert(!engine.servers().find(tagOf("i-1"))->evidence.isSuspect());
}

// If two servers have the same tag, flows of one must not reach the other, also after a host has restarted
// and has read the servers in another order.
Test(steering_engine, of_two_servers_with_one_tag_the_first_keeps_it)
{
    const auto [first, second] = serversWithOneTag();
    for (const bool isFirstReadFirst : { true, false }) {
        steering_engine engine(optionsOf());
        engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
        engine.applyServer(isFirstReadFirst ? first : second, at(0));
        engine.applyServer(isFirstReadFirst ? second : first, at(0));
        engine.setViewComplete(true);
        for (std::uint16_t port = 1; port <= 4; ++port)
            cr_assert(engine.handlePacket(openingPacket(port), at(port)).server == first.address);
        // When the second server leaves, the first one must stay.
        engine.removeServer(second.id, false, at(10));
        cr_assert(engine.handlePacket(openingPacket(9), at(11)).server == first.address);
    }
}

// When the server that holds a tag leaves, the other one must get flows, and none of those of the former one.
Test(steering_engine, tag_passes_to_the_other_server_without_its_flows)
{
    const auto [first, second] = serversWithOneTag();
    steering_engine engine(optionsOf());
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
    engine.applyServer(first, at(0));
    engine.applyServer(second, at(0));
    engine.setViewComplete(true);
    const server_tag tag = openFlow(engine, 1, 1);
    cr_assert_eq(engine.servers().find(tag)->openFlows, 1);
    engine.takeEvents();
    engine.removeServer(first.id, false, at(20));
    cr_assert_eq(engine.flowCount(), 0);
    cr_assert_eq(engine.servers().find(tag)->openFlows, 0);
    cr_assert(engine.handlePacket(openingPacket(2), at(21)).server == second.address);
    // The first server is back, under its id but without its flows.
    server_entry restarted = first;
    restarted.startedAtMs = second.startedAtMs + 1000;
    engine.applyServer(restarted, at(30));
    cr_assert(engine.handlePacket(openingPacket(3), at(31)).server == second.address);
    cr_assert(engine.handlePacket(laterPacket(2, tag, 200), at(32)).server == second.address);
    const std::vector<steering_event> events = engine.takeEvents();
    cr_assert(std::any_of(events.begin(), events.end(), [&first](const steering_event& event) {
        return event.kind == steering_event_kind::ServerWithoutTag && event.subject == first.id;
    }));
}

// A configuration change must not cut open flows, and must apply to new flows at once.
Test(steering_engine, route_changes_affect_new_flows_only)
{
    steering_engine engine = engineWithCompleteView();
    const server_tag tag = openFlow(engine, 40001, 0);
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }, 8443) }));
    cr_assert(engine.handlePacket(laterPacket(40001, tag, 10), at(100)).action == packet_action::Forward);
    cr_assert(engine.handlePacket(openingPacket(40002), at(101)).reason == packet_reason::NoRoute);
    cr_assert(engine.handlePacket(openingPacket(40003, 0, 8443), at(102)).action == packet_action::Forward);
}

// New flows of a service without servers must be refused and not hang, and a route whose weights are all 0
// must reach no server.
Test(steering_engine, routes_without_servers_or_weights_refuse)
{
    steering_engine engine = engineWithCompleteView();
    engine.applyConfig(configOf({ routeTo({ { "unknown", 1 } }, 1), routeTo({ { "booking", 0 } }, 2),
        routeTo({ { "booking", 1 } }, 3), routeTo({ { "unknown", 1 } }, 3) }));
    cr_assert(engine.handlePacket(openingPacket(1, 0, 1), at(0)).reason == packet_reason::NoServer);
    cr_assert(engine.handlePacket(openingPacket(2, 0, 2), at(0)).reason == packet_reason::NoServer);
    // If two routes have the same address, the first one applies.
    cr_assert(engine.handlePacket(openingPacket(3, 0, 3), at(0)).action == packet_action::Forward);
}

// Flows of a split route must be distributed by weight; a service with weight 0 gets none.
Test(steering_engine, split_routes_follow_the_weights)
{
    steering_engine engine = engineWithCompleteView();
    engine.applyServer(serverEntry("i-7", "a", "media"), at(0));
    engine.applyServer(serverEntry("i-8", "a", "idle"), at(0));
    engine.applyConfig(configOf({ routeTo({ { "booking", 90 }, { "idle", 0 }, { "media", 10 } }) }));
    std::map<std::string, int> flows;
    for (std::uint16_t port = 1; port <= 1000; ++port) {
        const double now = 20.0 * port;
        const packet_decision placed = engine.handlePacket(openingPacket(port), at(now));
        ++flows[engine.servers().find(placed.tag)->entry.service];
        engine.handlePacket(laterPacket(port, placed.tag, 10), at(now + 5));
        engine.handlePacket(laterPacket(port, placed.tag, 0, true), at(now + 15));
    }
    cr_assert(flows["idle"] == 0 && flows["media"] > 60 && flows["media"] < 140, "%d", flows["media"]);
}

// A data centre that operators take out of service must get no new flows from then on, and no packets of open
// flows after the grace period.
Test(steering_engine, data_centre_taken_out_loses_new_flows_then_open_flows)
{
    steering_engine engine = engineWithCompleteView();
    const server_tag tag = openFlow(engine, 40001, 0);
    cr_assert(engine.servers().find(tag)->entry.dataCentre == "a");
    engine.setDataCentreOut("a", true, at(50));
    for (std::uint16_t port = 1; port <= 5; ++port)
        cr_assert(engine.servers().find(openFlow(engine, port, 60 + port))->entry.dataCentre == "b");
    cr_assert(engine.handlePacket(laterPacket(40001, tag, 10), at(1000)).action == packet_action::Forward);
    cr_assert(
        engine.handlePacket(laterPacket(40001, tag, 10), at(4100)).reason == packet_reason::DataCentreOut);
    engine.setDataCentreOut("a", false, at(5000));
    cr_assert(engine.servers().find(openFlow(engine, 99, 5001))->entry.dataCentre == "a");
}

// Servers whose entries expired while the store was failing must stay in use until the entries can be
// restored.
Test(steering_engine, lapsed_entries_stay_in_use_for_two_seconds)
{
    steering_engine engine = engineWithCompleteView();
    for (const char* const id : { "i-1", "i-2", "i-3" })
        engine.removeServer(id, true, at(0));
    cr_assert(engine.servers().find(openFlow(engine, 1, 100))->entry.dataCentre == "a");
    engine.applyServer(serverEntry("i-1"), at(1500));
    engine.advance(at(2100));
    for (std::uint16_t port = 2; port <= 4; ++port)
        cr_assert(openFlow(engine, port, 2200) != tagOf("i-2"));
    cr_assert(engine.servers().find(tagOf("i-1"))->presence == server_presence::Listed);
    cr_assert(engine.servers().find(tagOf("i-3"))->presence == server_presence::Left);
}

// A host that reaches none of its servers must detect this within a few flows, so that it stops taking
// callers.
Test(steering_engine, unreachable_servers_are_detected_within_a_few_flows)
{
    steering_engine engine = engineWithCompleteView();
    double now = 0;
    for (std::uint16_t port = 1; port <= 12; ++port, now += 15) {
        engine.handlePacket(openingPacket(port), at(now));
        engine.advance(at(now));
    }
    engine.advance(at(now + 100));
    cr_assert(engine.unreachableShare(at(now + 100)) > 0.9);
    engine.clearDataCentreEvidence("b");
    cr_assert(engine.unreachableShare(at(now + 101)) == 0.0);
}

// Flows must stay within the home regions of their route.
Test(steering_engine, flows_stay_in_home_regions)
{
    steering_options options = optionsOf();
    options.regions = { { "a", "north" }, { "b", "south" } };
    steering_engine engine = engineWithCompleteView(options);
    route homeRoute = routeTo({ { "booking", 1 } });
    homeRoute.homeRegions = { "south" };
    engine.applyConfig(configOf({ homeRoute }));
    for (std::uint16_t port = 1; port <= 5; ++port)
        cr_assert(engine.servers().find(openFlow(engine, port, port))->entry.dataCentre == "b");
}

// A backlog of late flows must not fill the queues of servers, which would make the timely flows late that
// follow.
Test(steering_engine, late_flows_do_not_fill_the_queues_of_servers)
{
    steering_engine engine = engineWithCompleteView();
    // Every slot has two flows in this data centre and one in the other.
    const server_tag first = openFlow(engine, 1, 0);
    cr_assert_eq(countForwarded(engine, 2, 26, 1), 26);
    engine.handlePacket(laterPacket(1, first, 0, true), at(50));
    cr_assert_eq(engine.handlePacket(openingPacket(100, 1), at(51)).reason, packet_reason::Waiting);
    cr_assert_eq(engine.handlePacket(openingPacket(101), at(52)).reason, packet_reason::Waiting);
    const std::vector<delayed_offer> started = engine.placeWaitingFlows(at(53));
    cr_assert_eq(started.size(), 1);
    cr_assert_eq(started.front().opening.flow.callerPort, 101);
}

// Hosts that start together must not each fill the servers as if they were alone.
Test(steering_engine, neighbours_without_report_are_assumed_to_place_as_much)
{
    steering_options options = optionsOf();
    options.assumedNeighbours = 2;
    steering_engine alone = engineWithCompleteView(options);
    int forwarded = countForwarded(alone, 1, 60, 0);
    // Loads are reported every 50 ms; no server answers yet.
    for (int round = 1; round < 4; ++round) {
        alone.takeLoads();
        for (const delayed_offer& offer : alone.placeWaitingFlows(at(30.0 * round)))
            forwarded += offer.decision.action == packet_action::Forward ? 1 : 0;
    }
    // The host gets a third of two flows per local slot and one per remote slot.
    cr_assert_leq(forwarded, 27 / 3 + 6, "%d", forwarded);
}

// Hosts must exchange loads often when the servers of their data centre are busy, or when these are out of
// service and they share the servers of others.
Test(steering_engine, busy_servers_are_detected)
{
    steering_engine engine = engineWithCompleteView();
    engine.takeLoads();
    cr_assert(!engine.isBusy());
    // There are nine local slots.
    cr_assert_eq(countForwarded(engine, 1, 3, 0), 3);
    engine.takeLoads();
    cr_assert(engine.isBusy());
    steering_engine withoutServers = engineWithCompleteView();
    withoutServers.setDataCentreOut("a", true, at(0));
    withoutServers.takeLoads();
    cr_assert(withoutServers.isBusy());
}
