#include "load_simulation.hpp"

#include <criterion/criterion.h>

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

simulation_result simulate(const simulation_options& options, double from, double until)
{
    load_simulation simulation(options);
    simulation.run();
    return simulation.resultOf(from, until);
}

/// Disables waiting at the hosts: servers get every flow at once.
simulation_options withoutQueueing(simulation_options options)
{
    options.steering.flowsPerSlot = options.steering.lateFlowsPerSlot = 1e6;
    options.steering.flowsPerRemoteSlot = options.steering.lateFlowsPerRemoteSlot = 1e6;
    return options;
}

} // namespace

// Under normal load, with each host seeing a third of the flows, answers must be in time.
Test(load_simulation, usual_load_is_answered_in_time)
{
    simulation_options options;
    options.outageFrom = options.outageUntil = 1e6;
    const simulation_result result = simulate(options, 500, 6000);
    cr_assert(result.timely >= 0.995 * result.sent, "%d of %d", result.timely, result.sent);
    cr_assert(result.offered <= 1.02 * result.sent, "%d offers for %d", result.offered, result.sent);
}

// The backlog of an outage must not delay the callers that come after it.
Test(load_simulation, callers_after_an_outage_are_not_delayed_by_the_backlog)
{
    simulation_options options;
    // Beside this load, the backlog of 1.3 s takes more than a second to work off.
    options.requestsPerSecond = 220;
    const simulation_result queued = simulate(options, 3350, 4500);
    const simulation_result unqueued = simulate(withoutQueueing(options), 3350, 4500);
    cr_assert(queued.timely >= 0.95 * queued.sent, "%d of %d in time", queued.timely, queued.sent);
    cr_assert(queued.timely > unqueued.timely, "%d with waiting, %d without", queued.timely, unqueued.timely);
    // Callers that came during the outage must still be served, if late.
    const simulation_result backlog = simulate(options, 2300, 3300);
    const simulation_result unqueuedBacklog = simulate(withoutQueueing(options), 2300, 3300);
    cr_assert(backlog.late >= 0.9 * unqueuedBacklog.late, "%d, %d", backlog.late, unqueuedBacklog.late);
}

// If the servers can work off the backlog of an outage within the time that callers wait, its callers must
// not be refused until they have no retry left. The load exceeds the capacity of the servers for about a
// second.
Test(load_simulation, backlog_that_the_servers_work_off_is_not_refused)
{
    simulation_options options;
    options.hosts = 9;
    options.servers = 9;
    options.slots = 4;
    options.workMilliseconds = 57;
    options.requestsPerSecond = 350;
    options.retries = 2;
    options.deadline = 2500;
    options.outageUntil = 3550;
    const simulation_result result = simulate(options, 2200, 4500);
    const int lost = result.sent - result.timely - result.late;
    cr_assert(lost <= 0.02 * result.sent, "%d of %d lost, %d refused", lost, result.sent, result.refused);
}

// When many hosts restart together after an outage, they do not know of each other's flows yet. They must not
// send so much of the backlog to the same servers that these reject requests. Models a large data centre
// whose hosts exchange loads only a few times per second.
Test(load_simulation, many_hosts_restarting_together_do_not_overload_servers)
{
    simulation_options options;
    options.hosts = 30;
    options.servers = 40;
    options.slots = 2;
    options.workMilliseconds = 57;
    options.requestsPerSecond = 570;
    options.deadline = 4000;
    options.retries = 2;
    options.exchangeMilliseconds = 280;
    options.outageUntil = 3500;
    load_simulation simulation(options);
    simulation.run();
    // The servers in production allow eight requests to wait.
    cr_assert_leq(simulation.longestQueue(), 8);
    const simulation_result result = simulation.resultOf(2200, 4500);
    const int lost = result.sent - result.timely - result.late;
    cr_assert(lost <= 0.02 * result.sent, "%d of %d lost", lost, result.sent);
}

// Under overload, the servers must not spend their work on callers that have already given up while every
// other caller waits.
Test(load_simulation, overload_is_served_up_to_capacity)
{
    simulation_options options;
    options.outageFrom = options.outageUntil = 1e6;
    // Five servers with three slots each have a capacity of about 357 requests per second.
    options.requestsPerSecond = 500;
    const simulation_result queued = simulate(options, 2000, 5500);
    const simulation_result unqueued = simulate(withoutQueueing(options), 2000, 5500);
    const double capacity = 3.5 * 15 * 1000 / options.workMilliseconds;
    cr_assert(queued.timely >= 0.75 * capacity, "%d timely, capacity %.0f", queued.timely, capacity);
    cr_assert(
        queued.timely > 2 * unqueued.timely, "%d with waiting, %d without", queued.timely, unqueued.timely);
    cr_assert(
        queued.refused > 0.5 * (queued.sent - capacity), "%d refused of %d", queued.refused, queued.sent);
}

// Flows that will be late must be refused while they are still timely. If they wait until they are late,
// their callers retry with new flows that appear timely and take servers from those that still are. Models
// sustained overload with callers that retry at once.
Test(load_simulation, overload_with_retries_is_answered_in_time)
{
    simulation_options options;
    options.outageFrom = options.outageUntil = 1e6;
    options.retries = 2;
    // Five servers with one slot each have a capacity of about 119 requests per second.
    options.slots = 1;
    options.requestsPerSecond = 165;
    const simulation_result result = simulate(options, 2000, 5500);
    const double capacity = 3.5 * 5 * 1000 / options.workMilliseconds;
    cr_assert(result.timely >= 0.75 * capacity, "%d timely, capacity %.0f", result.timely, capacity);
}

// A server that stops answering must delay no more than the first few flows that are offered to it.
Test(load_simulation, unresponsive_server_delays_few_requests)
{
    simulation_options options;
    options.outageFrom = options.outageUntil = 1e6;
    options.unresponsiveServer = 2;
    options.unresponsiveFrom = 2000;
    const simulation_result result = simulate(options, 2000, 5600);
    cr_assert(result.timely >= 0.98 * result.sent, "%d of %d", result.timely, result.sent);
    cr_assert(result.offered <= 1.08 * result.sent, "%d offers for %d", result.offered, result.sent);
}

// In a small data centre, the first host that is back after an outage gets all callers. It must use all
// servers and not reserve a share for neighbours that do not serve yet.
Test(load_simulation, first_host_to_return_may_use_all_servers)
{
    steering_engine engine = engineWithCompleteView();
    engine.setHosts({ 1, 2, 3, 4, 5, 6, 7, 8, 9 }, 1, 0);
    engine.setPosition({ 0, 3 });
    engine.setLoadReportInterval(std::chrono::milliseconds { 50 });
    int forwarded = 0;

    for (std::uint16_t round = 0; round < 6; ++round) {
        forwarded += countForwarded(engine, static_cast<std::uint16_t>(1 + 30 * round), 30, 7.0 * round);
        engine.takeLoads();
    }
    // Nine local slots take two flows each.
    cr_assert_geq(forwarded, 18);
}
