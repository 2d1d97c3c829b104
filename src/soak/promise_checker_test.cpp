#include "promise_checker.hpp"

#include <functional>

#include <criterion/criterion.h>

using namespace shallotcove::soak;
namespace core = shallotcove::core;
namespace steering = shallotcove::steering;

namespace {

const steering::route_address route { 0xc6120001, 443 };
const steering::route_address probeRoute { 0xc6120002, 1000 };
const steering::flow_address flow { 0x7f140201, route.address, 2000, route.port };
const steering::flow_address probe { 0x7f140201, probeRoute.address, 2001, probeRoute.port };

core::timestamp at(double seconds)
{
    return { std::chrono::duration_cast<core::duration>(std::chrono::duration<double> { seconds }) };
}

steering::route routeTo(std::string name, steering::route_address address, std::string service)
{
    steering::route result;
    result.name = std::move(name);
    result.at = address;
    result.targets = { { std::move(service), 1 } };
    return result;
}

steering::server_entry serverOf(std::string id, std::string service)
{
    steering::server_entry entry;
    entry.id = std::move(id);
    entry.service = std::move(service);
    entry.dataCentre = "a";
    return entry;
}

/// Knows the servers s1 and s2 of the service of the route, and s3 of another one.
promise_checker informedChecker(bool hasProbe = true)
{
    promise_checker checker;
    steering::routing_config config;
    config.version = 1;
    config.routes = { routeTo("callers", route, "booking") };
    if (hasProbe)
        config.routes.push_back(routeTo("probe-1", probeRoute, "booking"));
    checker.recordConfig(config, at(0));
    checker.recordServer(serverOf("s1", "booking"), at(0));
    checker.recordServer(serverOf("s2", "booking"), at(0));
    checker.recordServer(serverOf("s3", "other"), at(0));
    return checker;
}

void removeProbe(promise_checker& checker, double seconds)
{
    steering::routing_config config;
    config.version = 2;
    config.routes = { routeTo("callers", route, "booking") };
    checker.recordConfig(config, at(seconds));
}

bool isBroken(const promise_checker& checker, promise kept)
{
    return checker.violations().size() == 1 && checker.violations().front().broken == kept;
}

} // namespace

// Guards against a soak that finds nothing because its checker does not look: each promise is broken once.

Test(promise_checker, usual_events_keep_all_promises)
{
    promise_checker checker = informedChecker();
    checker.recordOpening(flow, "s1", "h1", at(10), at(10));
    checker.recordFlowOpen(flow, "s1");
    checker.recordPacket(flow, "s1", at(10.1));
    checker.recordRun(1, flow, false, at(10.1));
    checker.recordRequest(flow, at(10), at(10.2), true);
    checker.recordFlowEnd(flow);
    checker.recordRefusal(probe, 2, "h1", at(1), at(1));
    checker.recordExit("h1", at(20), false, 0, at(22));
    checker.recordExit("h1", std::nullopt, true, 137, at(23));
    checker.finish(at(30));
    cr_assert(checker.violations().empty(), "%s", checker.violations().front().text.c_str());
}

Test(promise_checker, flow_at_a_server_of_another_service_is_found)
{
    promise_checker checker = informedChecker();
    checker.recordOpening(flow, "s3", "h1", at(1), at(1));
    cr_assert(isBroken(checker, promise::RightService));
}

Test(promise_checker, second_run_is_found_unless_it_may_be_repeated)
{
    promise_checker checker = informedChecker();
    checker.recordRun(1, flow, true, at(1));
    checker.recordRun(1, probe, true, at(2));
    cr_assert(checker.violations().empty());
    checker.recordRun(2, flow, false, at(3));
    checker.recordRun(2, probe, false, at(4));
    cr_assert(isBroken(checker, promise::AtMostOnce));
}

Test(promise_checker, refused_request_that_runs_before_or_after_is_found)
{
    promise_checker after = informedChecker();
    after.recordRefusal(flow, 1, "h1", at(1), at(1));
    after.recordRun(1, flow, true, at(2));
    cr_assert(isBroken(after, promise::TruthfulRefusal));
    promise_checker before = informedChecker();
    before.recordRun(1, flow, true, at(1));
    before.recordRefusal(flow, 1, "h1", at(1), at(2));
    cr_assert(isBroken(before, promise::TruthfulRefusal));
}

Test(promise_checker, open_flow_that_is_reset_or_goes_elsewhere_is_found)
{
    promise_checker reset = informedChecker();
    reset.recordFlowOpen(flow, "s1");
    reset.recordRefusal(flow, 1, "h1", at(1), at(1));
    cr_assert(isBroken(reset, promise::OpenFlowsKept));
    promise_checker foreign = informedChecker();
    foreign.recordFlowOpen(flow, "s1");
    foreign.recordForeignReset(flow, "s2", at(1));
    cr_assert(isBroken(foreign, promise::OpenFlowsKept));
    promise_checker astray = informedChecker();
    astray.recordFlowOpen(flow, "s1");
    astray.recordPacket(flow, "s2", at(1));
    astray.recordPacket(flow, "s2", at(1.1));
    cr_assert(astray.violations().empty());
    astray.recordPacket(flow, "s2", at(1.2));
    cr_assert(isBroken(astray, promise::OpenFlowsKept));
}

Test(promise_checker, changed_packet_is_found)
{
    promise_checker checker = informedChecker();
    checker.recordArrival(true, "s1", "h1", at(1));
    cr_assert(checker.violations().empty());
    checker.recordArrival(false, "s1", "h1", at(1));
    cr_assert(isBroken(checker, promise::UnchangedPackets));
}

Test(promise_checker, flow_at_a_drained_server_is_found_of_hosts_in_touch_only)
{
    promise_checker checker = informedChecker();
    checker.recordLeaving("s1", at(10));
    checker.recordOpening(flow, "s1", "h1", at(12.9), at(12.9));
    checker.beginHostTrouble("h2", at(11));
    checker.endHostTrouble("h2", at(12));
    checker.recordOpening(flow, "s1", "h2", at(15), at(15));
    cr_assert(checker.violations().empty());
    checker.recordOpening(flow, "s1", "h1", at(13.1), at(13.1));
    cr_assert(isBroken(checker, promise::DrainedServersIdle));
}

Test(promise_checker, flow_into_a_data_centre_that_is_out_is_found)
{
    promise_checker checker = informedChecker();
    checker.recordDataCentreOut("a", true, at(10));
    checker.recordOpening(flow, "s1", "h1", at(14), at(14));
    cr_assert(checker.violations().empty());
    checker.recordOpening(flow, "s1", "h1", at(15.1), at(15.1));
    cr_assert(isBroken(checker, promise::DataCentreOutIdle));
}

Test(promise_checker, configuration_that_comes_late_is_found)
{
    promise_checker removed = informedChecker();
    removeProbe(removed, 10);
    removed.recordOpening(probe, "s1", "h1", at(13.1), at(13.1));
    cr_assert(isBroken(removed, promise::ConfigInForce));
    promise_checker added = informedChecker();
    added.recordRefusal(probe, 1, "h1", at(2.9), at(2.9));
    cr_assert(added.violations().empty());
    added.recordRefusal(probe, 2, "h1", at(3.1), at(3.1));
    cr_assert(isBroken(added, promise::ConfigInForce));
}

Test(promise_checker, configuration_that_goes_back_is_found_within_one_run)
{
    promise_checker checker = informedChecker();
    removeProbe(checker, 10);
    checker.recordRefusal(probe, 1, "h1", at(10.1), at(10.1));
    checker.recordOpening(probe, "s1", "h1", at(10.2), at(10.2));
    cr_assert(checker.violations().empty());
    checker.recordStart("h1");
    checker.recordOpening(probe, "s1", "h1", at(11), at(11));
    cr_assert(checker.violations().empty(), "a new run knows nothing");
    checker.recordRefusal(probe, 2, "h1", at(11.2), at(11.2));
    checker.recordOpening(probe, "s1", "h1", at(11.6), at(11.6));
    cr_assert(isBroken(checker, promise::ConfigKept));
}

Test(promise_checker, too_many_flows_at_a_cold_server_are_found)
{
    promise_checker checker = informedChecker();
    checker.recordCold("s1", 10, at(20));
    // 10 x 1.5 + 5 in any second.
    for (int index = 0; index < 20; ++index)
        checker.recordOpening(flow, "s1", "h1", at(10), at(10 + 0.01 * index));
    checker.recordOpening(flow, "s1", "h1", at(11.3), at(11.3));
    cr_assert(checker.violations().empty());
    for (int index = 0; index < 20; ++index)
        checker.recordOpening(flow, "s1", "h1", at(11.3), at(11.3 + 0.01 * index));
    cr_assert(isBroken(checker, promise::ColdLimit));
}

Test(promise_checker, end_without_a_signal_or_too_late_is_found)
{
    promise_checker alone = informedChecker();
    alone.recordExit("h1", std::nullopt, false, 0, at(1));
    cr_assert(isBroken(alone, promise::OrderlyEnds));
    promise_checker failed = informedChecker();
    failed.recordExit("h1", at(1), false, 139, at(2));
    cr_assert(isBroken(failed, promise::OrderlyEnds));
    promise_checker slow = informedChecker();
    slow.recordExit("h1", at(1), false, 0, at(7.1));
    cr_assert(isBroken(slow, promise::OrderlyEnds));
    promise_checker overdue = informedChecker();
    overdue.recordOverdueEnd("h1", at(7));
    cr_assert(isBroken(overdue, promise::OrderlyEnds));
}

Test(promise_checker, lost_request_is_found_in_calm_times_only)
{
    promise_checker checker = informedChecker();
    checker.recordTrafficTrouble(at(10), at(11));
    checker.recordRequest(flow, at(14.9), at(16), false);
    checker.finish(at(20));
    cr_assert(checker.violations().empty());
    checker.recordRequest(flow, at(15.1), at(16), false);
    checker.finish(at(20));
    cr_assert(isBroken(checker, promise::ServedInCalm));
}

Test(promise_checker, missing_recovery_is_found)
{
    promise_checker checker = informedChecker();
    checker.recordCalmFrom(at(10));
    checker.recordTrafficTrouble(at(0), at(100));
    for (int index = 0; index < 10; ++index)
        checker.recordRequest(flow, at(23), at(24), index < 2);
    checker.finish(at(30));
    cr_assert(isBroken(checker, promise::Recovery));
}
