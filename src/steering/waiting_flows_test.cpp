#include <shallotcove/steering/waiting_flows.hpp>

#include <criterion/criterion.h>

#include "steering_fixture.hpp"

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

constexpr std::chrono::milliseconds serviceTime { 50 };

waiting_flow waitingFrom(std::uint16_t port, double sent, double arrived, std::uint32_t priority = 1)
{
    return { flowOf(port), priority, at(arrived), at(sent + 200), at(sent + 1400), at(sent + 1200) };
}

/// The queue of a service under a load that has lasted for longer than callers wait for a flow to open.
waiting_flows underSustainedLoad()
{
    waiting_flows waiting(serviceTime);
    waiting.add(waitingFrom(500, 0, -1500));
    cr_assert(waiting.takeUnservable(10, at(-1500)).empty());
    return waiting;
}

} // namespace

// Guards against a backlog that makes callers late who could still be answered in time.
Test(waiting_flows, timely_flows_go_before_late_ones)
{
    waiting_flows waiting(serviceTime);
    waiting.add(waitingFrom(1, 0, 600, 0));
    waiting.add(waitingFrom(2, 590, 610));
    waiting.add(waitingFrom(3, 580, 605));
    // Under a load that lasts, the newest is the one that is still answered in time.
    cr_assert(waiting.next(at(620))->flow == flowOf(2));
    waiting.remove(flowOf(2));
    cr_assert(waiting.next(at(620))->flow == flowOf(3));
    waiting.remove(flowOf(3));
    waiting.add(waitingFrom(2, 590, 610));
    // Once all are late, the more important goes first.
    cr_assert(waiting.next(at(800))->flow == flowOf(1));
}

// Guards against callers of one kind that keep out a more important one.
Test(waiting_flows, priority_decides_among_timely_flows)
{
    waiting_flows waiting(serviceTime);
    for (std::uint16_t port = 1; port <= 50; ++port)
        waiting.add(waitingFrom(port, 0, port * 0.1, 2));
    waiting.add(waitingFrom(60, 0, 10, 1));
    cr_assert(waiting.next(at(12))->flow == flowOf(60));
}

// Guards against requests that wait until their callers have left.
Test(waiting_flows, unservable_flows_are_removed)
{
    waiting_flows waiting(serviceTime);
    waiting.add(waitingFrom(1, 0, 0));
    waiting.add(waitingFrom(2, 500, 500));
    cr_assert(waiting.takeUnservable(10, at(1100)).empty());
    const std::vector<waiting_flow> unservable = waiting.takeUnservable(10, at(1151));
    cr_assert(unservable.size() == 1 && unservable[0].flow == flowOf(1) && waiting.size() == 1);
}

// Guards against late flows that are kept until their callers leave while timely ones take every server.
Test(waiting_flows, late_flows_beyond_the_measured_rate_are_removed)
{
    waiting_flows waiting = underSustainedLoad();
    for (std::uint16_t port = 1; port <= 10; ++port)
        waiting.add(waitingFrom(port, 0, 0));
    waiting.remove(flowOf(500));
    cr_assert(waiting.takeUnservable(10, at(0)).empty());
    // Only flows that came later got servers.
    for (double now = 100; now < 500; now += 20)
        waiting.recordStart(waitingFrom(100, now, now), at(now));
    cr_assert(waiting.takeUnservable(10, at(510)).size() == 10);
    // Where late flows have their turn, as many are kept as fit.
    waiting_flows draining = underSustainedLoad();
    for (double now = -1000; now < 0; now += 25)
        draining.recordStart(waitingFrom(100, -1400, -1400), at(now));
    for (std::uint16_t port = 1; port <= 40; ++port)
        draining.add(waitingFrom(port, 0, 0));
    draining.remove(flowOf(500));
    cr_assert(draining.takeUnservable(10, at(0)).empty());
    for (double now = 250; now < 500; now += 25)
        draining.recordStart(waitingFrom(100, 0, 0), at(now));
    const std::size_t refused = draining.takeUnservable(10, at(510)).size();
    // Up to three times 20 a second are expected for 0.64 s, until flows that were sent at 0 would open too
    // late.
    cr_assert(refused >= 1 && refused <= 4, "%zu", refused);
}

// Guards against flows that wait in vain until they are late, although the load lasts and the outcome is
// known: their callers could try elsewhere while an answer would still be timely.
Test(waiting_flows, timely_flows_that_would_start_late_are_removed_at_once)
{
    waiting_flows waiting = underSustainedLoad();
    waiting.add(waitingFrom(1, 0, 0));
    waiting.remove(flowOf(500));
    cr_assert(waiting.takeUnservable(1, at(0)).empty());
    for (double now = 20; now < 500; now += 20)
        waiting.recordStart(waitingFrom(100, now, now), at(now));
    waiting.remove(flowOf(1));
    for (std::uint16_t port = 2; port <= 11; ++port)
        waiting.add(waitingFrom(port, 510, 510));
    // One flow at once, 50 ms each: turns at 510, 560, 610 and 660 ms are in time for 710 ms.
    cr_assert_eq(waiting.takeUnservable(1, at(510)).size(), 6);
    cr_assert_eq(waiting.size(), 4);
}

// Guards against refusals of the backlog of an outage, which the servers work off while callers wait.
Test(waiting_flows, short_backlog_is_not_sustained_load)
{
    waiting_flows waiting(serviceTime);
    for (std::uint16_t port = 1; port <= 10; ++port)
        waiting.add(waitingFrom(port, 0, 0));
    cr_assert(waiting.takeUnservable(10, at(0)).empty());
    for (double now = 20; now < 1100; now += 20) {
        waiting.recordStart(waitingFrom(100, now, now), at(now));
        cr_assert(waiting.takeUnservable(10, at(now)).empty());
    }
}

// Guards against a queue that takes flows for which it has no time.
Test(waiting_flows, flow_behind_too_many_others_cannot_be_served)
{
    waiting_flows waiting(serviceTime);
    for (std::uint16_t port = 1; port <= 100; ++port)
        waiting.add(waitingFrom(port, 0, 0));
    // It is late already, so that all others go before it.
    const waiting_flow last = waitingFrom(200, -300, 1);
    cr_assert(waiting.canServe(last, 10, at(1)), "100 flows, 10 at once, 50 ms each: 500 ms");
    cr_assert(!waiting.canServe(last, 4, at(1)), "4 at once: 1250 ms");
    // A flow that is timely goes before them.
    cr_assert(waiting.canServe(waitingFrom(201, 1, 1), 4, at(1)));
}
