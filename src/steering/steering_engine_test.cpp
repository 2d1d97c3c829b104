#include "steering_fixture.hpp"

#include <map>
#include <set>
#include <unordered_map>

#include <criterion/criterion.h>

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

// Guards against a flow whose later packets go elsewhere when they enter at a host that knows nothing of it.
Test(steering_engine, later_packets_follow_the_tag_at_any_host)
{
    steering_engine first = informedEngine();
    steering_engine second = informedEngine(optionsOf("b"));
    const packet_decision placed = first.handlePacket(opening(40001), at(0));
    cr_assert(placed.action == packet_action::Forward && placed.tag.value != 0);
    const packet_decision later = second.handlePacket(following(40001, placed.tag, 300), at(9));
    cr_assert(later.action == packet_action::Forward);
    cr_assert(later.server == placed.server && later.wireId == placed.wireId);
}

// Guards against resets of flows that may be open elsewhere.
Test(steering_engine, packets_without_a_known_server_are_dropped)
{
    steering_engine engine = informedEngine();
    for (const server_tag tag : { server_tag { 0 }, server_tag { 12345 } })
        cr_assert(engine.handlePacket(following(40001, tag, 10), at(0)).action == packet_action::Drop);
    caller_packet forged = opening(40002);
    forged.isAcknowledging = true;
    cr_assert(engine.handlePacket(forged, at(0)).action == packet_action::Drop);
}

// Guards against a host that serves, or denies routes, before it knows them.
Test(steering_engine, nothing_is_refused_before_the_configuration_is_known)
{
    steering_engine engine(optionsOf());
    cr_assert(engine.handlePacket(opening(40001), at(0)).reason == packet_reason::NotReady);
    engine.applyConfig(configOf({}));
    cr_assert(engine.handlePacket(opening(40001), at(1)).action == packet_action::Drop);
    engine.setInformed(true);
    const packet_decision refused = engine.handlePacket(opening(40001), at(2));
    cr_assert(refused.action == packet_action::Refuse && refused.reason == packet_reason::NoRoute);
}

// Guards against flows that wait for the caller's own repetition after 200 ms when a server is silent.
Test(steering_engine, unresponsive_server_is_replaced_before_the_caller_repeats)
{
    steering_engine engine = informedEngine();
    const packet_decision first = engine.handlePacket(opening(40001), at(0));
    cr_assert(engine.advance(at(10)).empty());
    const std::vector<delayed_offer> offers = engine.advance(at(60));
    cr_assert(offers.size() == 1 && offers[0].decision.action == packet_action::Forward);
    cr_assert(offers[0].decision.tag != first.tag && offers[0].opening == opening(40001));
    // The caller's own copy goes to a third server.
    const packet_decision copy = engine.handlePacket(opening(40001, 1), at(200));
    cr_assert(copy.tag != first.tag && copy.tag != offers[0].decision.tag);
}

// Guards against packets of an open flow that go to the server it was offered to last, not to the one that
// has it.
Test(steering_engine, first_acknowledgement_decides_between_two_servers)
{
    steering_engine engine = informedEngine();
    const packet_decision first = engine.handlePacket(opening(40001), at(0));
    const std::vector<delayed_offer> offers = engine.advance(at(60));
    cr_assert(offers.size() == 1);
    cr_assert(engine.handlePacket(following(40001, first.tag), at(61)).tag == first.tag);
    // The second server's answer came later and changed the tag that the caller repeats.
    cr_assert(engine.handlePacket(following(40001, offers[0].decision.tag, 100), at(62)).tag == first.tag);
    cr_assert(engine.handlePacket(opening(40001, 1), at(201)).reason == packet_reason::StaleCopy);
}

// Guards against callers that are sent to a dead server again and again.
Test(steering_engine, suspect_server_gets_no_new_flows_until_a_trial_succeeds)
{
    steering_engine engine = informedEngine();
    // Without load, the first server in the order of this host gets every flow.
    const server_tag failedServer = informedEngine().handlePacket(opening(1), at(0)).tag;
    int offeredToFailed = 0;
    double now = 0;
    for (std::uint16_t port = 1; port <= 50; ++port, now += 100) {
        server_tag tag = engine.handlePacket(opening(port), at(now)).tag;
        double opened = now + 8;
        if (tag == failedServer) {
            ++offeredToFailed;
            opened = now + 65;
            const std::vector<delayed_offer> offers = engine.advance(at(now + 60));
            cr_assert(offers.size() == 1, "port %u", port);
            tag = offers[0].decision.tag;
        }
        engine.handlePacket(following(port, tag), at(opened));
        engine.handlePacket(following(port, tag, 0, true), at(now + 90));
    }
    // Two to become suspect, then trials after 1, 2 and, at most, 4 seconds.
    cr_assert(offeredToFailed >= 3 && offeredToFailed <= 5, "%d", offeredToFailed);
    cr_assert(engine.servers().find(failedServer)->evidence.isSuspect());
    // The server is back: the next trial ends the suspicion.
    for (std::uint16_t port = 100; port <= 150; ++port, now += 100) {
        const server_tag tag = engine.handlePacket(opening(port), at(now)).tag;
        engine.handlePacket(following(port, tag), at(now + 8));
        engine.handlePacket(following(port, tag, 0, true), at(now + 50));
    }
    cr_assert(!engine.servers().find(failedServer)->evidence.isSuspect());
}

// Guards against the silence of a caller that moved to another host being taken for a dead server.
Test(steering_engine, caller_that_gave_up_makes_no_server_suspect)
{
    steering_engine engine = informedEngine();
    for (std::uint16_t port = 1; port <= 20; ++port) {
        caller_packet late = opening(port, 2);
        late.age = std::chrono::milliseconds { 1390 };
        engine.handlePacket(late, at(port));
    }
    engine.advance(at(300));
    for (int number = 1; number <= 6; ++number)
        cr_assert(!engine.servers().find(tagOf("i-" + std::to_string(number)))->evidence.isSuspect());
}

// Guards against a host that stood still and then takes the callers that went elsewhere for silent servers.
Test(steering_engine, pause_of_the_host_makes_no_server_suspect)
{
    steering_engine engine = informedEngine();
    for (std::uint16_t port = 1; port <= 40; ++port)
        engine.handlePacket(opening(port), at(0));
    cr_assert(engine.hasWaiting());
    engine.handlePause(at(4000));
    cr_assert(engine.advance(at(4000)).empty() && !engine.hasWaiting() && engine.flowCount() == 0);
    for (int number = 1; number <= 6; ++number) {
        const server_record* const server = engine.servers().find(tagOf("i-" + std::to_string(number)));
        cr_assert(!server->evidence.isSuspect() && server->openFlows == 0, "server %d", number);
    }
    cr_assert(engine.handlePacket(opening(99), at(4001)).action == packet_action::Forward);
}

// Guards against an opening packet with another packet's checksum: a flow that waits here opens through
// another host.
Test(steering_engine, waiting_flow_that_opened_elsewhere_is_not_started)
{
    steering_engine engine = informedEngine();
    std::vector<server_tag> tags;
    for (std::uint16_t port = 1; port <= 40; ++port)
        engine.handlePacket(opening(port), at(0));
    cr_assert(engine.hasWaiting());
    const packet_decision held = engine.handlePacket(opening(100), at(1));
    cr_assert(held.reason == packet_reason::Waiting);
    const caller_packet request = following(100, tagOf("i-5"), 300);
    cr_assert(engine.handlePacket(request, at(5)).tag == tagOf("i-5"));
    for (double now = 6; now < 400; now += 5) {
        for (const delayed_offer& offer : engine.startWaiting(at(now)))
            cr_assert(offer.opening.isOpening && offer.opening.flow != request.flow);
        engine.advance(at(now));
    }
}

// Guards against packets for a server that left going to the one that took over its address, or nowhere.
Test(steering_engine, address_reused_by_another_service_keeps_flows_apart)
{
    steering_engine engine(optionsOf());
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
    engine.applyServer(serverEntry("i-1"), at(0));
    engine.setInformed(true);
    const server_tag tag = openFlow(engine, 40001, 0);
    server_entry draining = serverEntry("i-1");
    draining.state = server_state::Draining;
    engine.applyServer(draining, at(100));
    cr_assert(engine.handlePacket(opening(40002), at(101)).reason == packet_reason::NoServer);
    engine.removeServer("i-1", true, at(200));
    server_entry successor = serverEntry("i-2", "a", "media");
    successor.address = draining.address;
    engine.applyServer(successor, at(2300));
    const packet_decision later = engine.handlePacket(following(40001, tag, 10), at(2400));
    cr_assert(later.action == packet_action::Forward && later.wireId == 1);
    cr_assert(engine.handlePacket(opening(40003), at(2500)).reason == packet_reason::NoServer);
}

// Guards against evidence and load of a former run that count against a server that started anew.
Test(steering_engine, restart_under_the_same_id_starts_without_a_record)
{
    steering_engine engine(optionsOf());
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
    engine.applyServer(serverEntry("i-1"), at(0));
    engine.setInformed(true);
    for (std::uint16_t port = 1; port <= 3; ++port)
        engine.handlePacket(opening(port), at(0));
    engine.advance(at(100));
    cr_assert(engine.servers().find(tagOf("i-1"))->evidence.isSuspect());
    server_entry restarted = serverEntry("i-1");
    restarted.startedAtMs += 5000;
    engine.applyServer(restarted, at(200));
    cr_assert(!engine.servers().find(tagOf("i-1"))->evidence.isSuspect());
}

// Guards against flows of one server that reach another one with the same tag.
Test(steering_engine, of_two_servers_with_one_tag_the_first_keeps_it)
{
    std::unordered_map<server_tag, std::string> seen;
    std::string one;
    std::string other;
    for (std::uint32_t number = 1; other.empty(); ++number) {
        const std::string id = "i-" + std::to_string(number);
        const auto [found, isNew] = seen.try_emplace(tagOf(id), id);
        if (!isNew) {
            one = found->second;
            other = id;
        }
    }
    steering_engine engine(optionsOf());
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
    engine.applyServer(serverEntry(one), at(0));
    engine.applyServer(serverEntry(other), at(0));
    engine.setInformed(true);
    for (std::uint16_t port = 1; port <= 4; ++port)
        cr_assert(engine.handlePacket(opening(port), at(port)).server == serverEntry(one).address);
    // The second one leaves: the first must stay.
    engine.removeServer(other, false, at(10));
    cr_assert(engine.handlePacket(opening(9), at(11)).server == serverEntry(one).address);
}

// Guards against open flows cut by a configuration, and against routes that are not taken at once.
Test(steering_engine, route_changes_affect_new_flows_only)
{
    steering_engine engine = informedEngine();
    const server_tag tag = openFlow(engine, 40001, 0);
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }, 8443) }));
    cr_assert(engine.handlePacket(following(40001, tag, 10), at(100)).action == packet_action::Forward);
    cr_assert(engine.handlePacket(opening(40002), at(101)).reason == packet_reason::NoRoute);
    cr_assert(engine.handlePacket(opening(40003, 0, 8443), at(102)).action == packet_action::Forward);
}

// Guards against new flows of a service without servers that hang, and of a route without weights that reach
// one.
Test(steering_engine, routes_without_servers_or_weights_refuse)
{
    steering_engine engine = informedEngine();
    engine.applyConfig(configOf({ routeTo({ { "unknown", 1 } }, 1), routeTo({ { "booking", 0 } }, 2),
        routeTo({ { "booking", 1 } }, 3), routeTo({ { "unknown", 1 } }, 3) }));
    cr_assert(engine.handlePacket(opening(1, 0, 1), at(0)).reason == packet_reason::NoServer);
    cr_assert(engine.handlePacket(opening(2, 0, 2), at(0)).reason == packet_reason::NoServer);
    // Of two routes on one address the first holds.
    cr_assert(engine.handlePacket(opening(3, 0, 3), at(0)).action == packet_action::Forward);
}

// Guards against split routes that send flows to one service only, or to one with weight 0.
Test(steering_engine, split_routes_follow_the_weights)
{
    steering_engine engine = informedEngine();
    engine.applyServer(serverEntry("i-7", "a", "media"), at(0));
    engine.applyServer(serverEntry("i-8", "a", "idle"), at(0));
    engine.applyConfig(configOf({ routeTo({ { "booking", 90 }, { "idle", 0 }, { "media", 10 } }) }));
    std::map<std::string, int> flows;
    for (std::uint16_t port = 1; port <= 1000; ++port) {
        const double now = 20.0 * port;
        const packet_decision placed = engine.handlePacket(opening(port), at(now));
        ++flows[engine.servers().find(placed.tag)->entry.service];
        engine.handlePacket(following(port, placed.tag, 10), at(now + 5));
        engine.handlePacket(following(port, placed.tag, 0, true), at(now + 15));
    }
    cr_assert(flows["idle"] == 0 && flows["media"] > 60 && flows["media"] < 140, "%d", flows["media"]);
}

// Guards against flows into a data centre that operators took out, new ones at once and open ones after a
// while.
Test(steering_engine, data_centre_taken_out_loses_new_flows_then_open_flows)
{
    steering_engine engine = informedEngine();
    const server_tag tag = openFlow(engine, 40001, 0);
    cr_assert(engine.servers().find(tag)->entry.dataCentre == "a");
    engine.setDataCentreOut("a", true, at(50));
    for (std::uint16_t port = 1; port <= 5; ++port)
        cr_assert(engine.servers().find(openFlow(engine, port, 60 + port))->entry.dataCentre == "b");
    cr_assert(engine.handlePacket(following(40001, tag, 10), at(1000)).action == packet_action::Forward);
    cr_assert(
        engine.handlePacket(following(40001, tag, 10), at(4100)).reason == packet_reason::DataCentreOut);
    engine.setDataCentreOut("a", false, at(5000));
    cr_assert(engine.servers().find(openFlow(engine, 99, 5001))->entry.dataCentre == "a");
}

// Guards against servers that are dropped because their entries lapsed while the store was away.
Test(steering_engine, lapsed_entries_stay_in_use_for_two_seconds)
{
    steering_engine engine = informedEngine();
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

// Guards against a host that goes on taking callers although it reaches none of their servers.
Test(steering_engine, unreachable_servers_are_detected_within_a_few_flows)
{
    steering_engine engine = informedEngine();
    double now = 0;
    for (std::uint16_t port = 1; port <= 12; ++port, now += 15) {
        engine.handlePacket(opening(port), at(now));
        engine.advance(at(now));
    }
    engine.advance(at(now + 100));
    cr_assert(engine.unreachableShare(at(now + 100)) > 0.9);
    engine.trustDataCentre("b");
    cr_assert(engine.unreachableShare(at(now + 101)) == 0.0);
}

// Guards against home regions of a route that are ignored.
Test(steering_engine, flows_stay_in_home_regions)
{
    steering_options options = optionsOf();
    options.regions = { { "a", "north" }, { "b", "south" } };
    steering_engine engine = informedEngine(options);
    route homeRoute = routeTo({ { "booking", 1 } });
    homeRoute.homeRegions = { "south" };
    engine.applyConfig(configOf({ homeRoute }));
    for (std::uint16_t port = 1; port <= 5; ++port)
        cr_assert(engine.servers().find(openFlow(engine, port, port))->entry.dataCentre == "b");
}

// Guards against a backlog of late flows in the queues of servers, which makes the timely flows late that
// come after it.
Test(steering_engine, late_flows_do_not_fill_the_queues_of_servers)
{
    steering_engine engine = informedEngine();
    // All slots have two flows nearby and one far away.
    const server_tag first = openFlow(engine, 1, 0);
    cr_assert_eq(forwardedOf(engine, 2, 26, 1), 26);
    engine.handlePacket(following(1, first, 0, true), at(50));
    cr_assert_eq(engine.handlePacket(opening(100, 1), at(51)).reason, packet_reason::Waiting);
    cr_assert_eq(engine.handlePacket(opening(101), at(52)).reason, packet_reason::Waiting);
    const std::vector<delayed_offer> started = engine.startWaiting(at(53));
    cr_assert_eq(started.size(), 1);
    cr_assert_eq(started.front().opening.flow.callerPort, 101);
}

// Guards against hosts that start together and each fill the servers by themselves.
Test(steering_engine, neighbours_without_report_are_assumed_to_place_as_much)
{
    steering_options options = optionsOf();
    options.assumedNeighbours = 2;
    steering_engine alone = informedEngine(options);
    int forwarded = forwardedOf(alone, 1, 60, 0);
    // Loads are told every 50 ms; nobody answers yet.
    for (int round = 1; round < 4; ++round) {
        alone.takeLoads();
        for (const delayed_offer& offer : alone.startWaiting(at(30.0 * round)))
            forwarded += offer.decision.action == packet_action::Forward ? 1 : 0;
    }
    // A third of two flows a slot nearby and one far away.
    cr_assert_leq(forwarded, 27 / 3 + 6, "%d", forwarded);
}

// Guards against hosts that exchange loads rarely although their servers, or those that they must share, are
// busy.
Test(steering_engine, busy_servers_are_detected)
{
    steering_engine engine = informedEngine();
    engine.takeLoads();
    cr_assert(!engine.isBusy());
    // Nine slots nearby.
    cr_assert_eq(forwardedOf(engine, 1, 3, 0), 3);
    engine.takeLoads();
    cr_assert(engine.isBusy());
    steering_engine withoutServers = informedEngine();
    withoutServers.setDataCentreOut("a", true, at(0));
    withoutServers.takeLoads();
    cr_assert(withoutServers.isBusy());
}
