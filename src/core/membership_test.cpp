#include <array>
#include <set>

#include <criterion/criterion.h>

#include "control_fleet.hpp"

namespace core = shallotcove::core;
using core::control_fleet;
using core::member_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

double toSeconds(core::duration length) { return std::chrono::duration<double>(length).count(); }

/// Starts a fleet, waits until all hosts are synchronized and see each other, and runs it for 5 s more.
control_fleet startFleet(std::size_t count, std::uint64_t seed = 1)
{
    control_fleet fleet(count, seed);
    for (std::size_t i = 0; i < count; ++i)
        fleet.start(i, { control_fleet::addressOf(0), control_fleet::addressOf(count - 1) });
    const std::optional<core::duration> settled = fleet.runUntil(
        [&] {
            bool isReady = fleet.isConverged();
            for (const control_fleet::host& host : fleet.hosts)
                isReady = isReady && host.snapshot && host.snapshot->sync == core::sync_state::Synchronized;
            return isReady;
        },
        seconds { 20 });
    cr_assert(settled.has_value(), "a fleet of %zu hosts did not settle in 20 s", count);
    fleet.run(seconds { 5 });
    return fleet;
}

bool allSee(const control_fleet& fleet, std::size_t seen, member_state state)
{
    for (std::size_t viewer = 0; viewer < fleet.hosts.size(); ++viewer)
        if (viewer != seen && fleet.hosts[viewer].engine && fleet.states(viewer)[seen] != state)
            return false;
    return true;
}

} // namespace

// Every other host must see a stopped host as dead within the stated 3 s.
Test(membership, detects_death_under_3_s)
{
    for (const std::size_t count : { 2UL, 3UL, 9UL, 27UL, 81UL }) {
        control_fleet fleet = startFleet(count);
        for (std::size_t stopped = 0; stopped < std::min<std::size_t>(count - 1, 5); ++stopped) {
            fleet.stop(stopped);
            const std::optional<core::duration> took
                = fleet.runUntil([&] { return allSee(fleet, stopped, member_state::Dead); }, seconds { 10 });
            cr_assert(took.has_value());
            cr_log_info(
                "%zu hosts: death of host %zu seen by all after %.2f s", count, stopped, toSeconds(*took));
            cr_assert(*took < seconds { 3 }, "%zu hosts: %.2f s", count, toSeconds(*took));
            fleet.run(milliseconds { 370 });
        }
    }
}

// Guards against live hosts that are declared dead because probes were lost and that stay dead after the loss
// ends.
Test(membership, recovers_from_30_percent_loss)
{
    for (const std::size_t count : { 3UL, 9UL, 27UL }) {
        control_fleet fleet = startFleet(count);
        fleet.loss = 0.3;
        std::size_t deaths = 0;
        std::set<std::pair<std::size_t, std::size_t>> dead;
        fleet.run(seconds { 60 }, [&] {
            for (std::size_t viewer = 0; viewer < count; ++viewer) {
                const std::vector<member_state> states = fleet.states(viewer);
                for (std::size_t seen = 0; seen < count; ++seen) {
                    const bool isDead = states[seen] == member_state::Dead;
                    if (!isDead)
                        dead.erase({ viewer, seen });
                    else if (dead.emplace(viewer, seen).second)
                        deaths += 1;
                }
            }
        });
        cr_log_info("%zu hosts: %zu live hosts declared dead (counted for each viewer) in 60 s of 30%% loss",
            count, deaths);
        fleet.loss = 0;
        cr_assert(fleet.runUntil([&] { return fleet.isConverged(); }, seconds { 5 }).has_value());
    }
}

// Guards against a host that is declared dead because it was paused for 2 s, and against a host that places
// flows with an outdated view right after a pause.
Test(membership, refutes_suspicion_after_pause)
{
    control_fleet fleet = startFleet(9);
    const std::uint64_t before = fleet.view(1, 4)->incarnation;
    fleet.hosts[4].isPaused = true;
    fleet.run(seconds { 2 }, [&] { cr_assert(!allSee(fleet, 4, member_state::Dead)); });
    fleet.hosts[4].isPaused = false;
    fleet.run(milliseconds { 10 });
    cr_assert(fleet.hosts[4].snapshot->sync == core::sync_state::Unsynchronized);
    cr_assert(fleet.runUntil([&] { return fleet.isConverged(); }, seconds { 2 }).has_value());
    cr_assert(fleet.view(1, 4)->incarnation > before);
    const auto isSynchronized
        = [&] { return fleet.hosts[4].snapshot->sync == core::sync_state::Synchronized; };
    cr_assert(fleet.runUntil(isSynchronized, seconds { 1 }).has_value());
}

// Guards against a restarted host that others still see with its incarnation and state from before the
// restart.
Test(membership, accepts_restart_under_new_incarnation)
{
    control_fleet fleet = startFleet(9);
    const std::uint64_t before = fleet.view(1, 4)->incarnation;
    fleet.stop(4);
    fleet.run(milliseconds { 500 });
    fleet.start(4, { control_fleet::addressOf(0) });
    const auto isKnown = [&] {
        for (std::size_t viewer = 0; viewer < 9; ++viewer)
            if (!fleet.view(viewer, 4) || fleet.view(viewer, 4)->incarnation <= before)
                return false;
        return fleet.isConverged();
    };
    cr_assert(fleet.runUntil(isKnown, seconds { 3 }).has_value());
}

// Guards against a host that is declared dead because a single other host cannot reach it, although indirect
// probes can.
Test(membership, tolerates_cut_in_one_direction)
{
    control_fleet fleet = startFleet(9);
    fleet.isCut = [](std::size_t from, std::size_t to) { return from == 2 && to == 7; };
    fleet.run(seconds { 20 }, [&] { cr_assert(fleet.isConverged()); });
}

// Guards against the sides of a partition that do not rejoin when it ends, and against hosts that accept from
// the other side that hosts of their own side are dead.
Test(membership, rejoins_after_partition)
{
    for (const std::size_t count : { 9UL, 27UL, 81UL }) {
        control_fleet fleet = startFleet(count);
        fleet.isCut = [](std::size_t from, std::size_t to) { return (from % 3 == 0) != (to % 3 == 0); };
        fleet.run(seconds { 10 });
        cr_assert(fleet.view(0, 1)->state == member_state::Dead);
        cr_assert(fleet.view(1, 0)->state == member_state::Dead);
        fleet.isCut = [](std::size_t, std::size_t) { return false; };
        const std::optional<core::duration> took = fleet.runUntil(
            [&] {
                for (const auto& [viewer, seen] : { std::pair { 0UL, 3UL }, { 1UL, 2UL } })
                    cr_assert(fleet.view(viewer, seen)->state != member_state::Dead);
                return fleet.isConverged();
            },
            seconds { 15 });
        cr_assert(took.has_value(), "%zu hosts do not see each other again after the partition", count);
        cr_log_info(
            "%zu hosts: all see each other again %.2f s after the partition", count, toSeconds(*took));
    }
}

// Guards against membership traffic of each host that grows with the fleet. The documented rate is two
// datagrams of under 400 bytes each way per period of 400 ms, which is at most 10 messages and 4,000 bytes a
// second.
Test(membership, traffic_of_a_host_does_not_grow_with_fleet)
{
    for (const std::size_t count : { 3UL, 9UL, 27UL, 81UL }) {
        control_fleet fleet = startFleet(count);
        fleet.run(seconds { 10 });
        for (control_fleet::host& host : fleet.hosts)
            host.messages = host.bytes = 0;
        fleet.run(seconds { 20 });
        std::uint64_t messages {};
        std::uint64_t bytes {};
        for (const control_fleet::host& host : fleet.hosts) {
            messages += host.messages;
            bytes += host.bytes;
        }
        const double messagesPerSecond = static_cast<double>(messages) / 20 / static_cast<double>(count);
        const double bytesPerSecond = static_cast<double>(bytes) / 20 / static_cast<double>(count);
        cr_log_info("%zu hosts: %.1f messages and %.0f bytes a second sent by each host", count,
            messagesPerSecond, bytesPerSecond);
        cr_assert(messagesPerSecond <= 10.5 && bytesPerSecond <= 4000);
    }
}

// Guards against a leaving host that remains an owner, is declared dead while it still serves, or is seen as
// leaving for long after it stopped.
Test(membership, leaving_host_is_no_owner)
{
    control_fleet fleet = startFleet(9);
    fleet.hosts[4].engine->leave(fleet.now);
    cr_assert(fleet.runUntil([&] { return allSee(fleet, 4, member_state::Leaving); }, seconds { 1 }));
    fleet.run(milliseconds { 20 });
    for (const core::member& owner : fleet.hosts[1].snapshot->owners)
        cr_assert(owner.id != control_fleet::idOf(4));
    fleet.run(seconds { 10 }, [&] { cr_assert(allSee(fleet, 4, member_state::Leaving)); });
    fleet.stop(4);
    cr_assert(fleet.runUntil([&] { return allSee(fleet, 4, member_state::Dead); }, seconds { 3 }));
}

// Guards against a host that places flows without configuration, and against a host that waits for good for
// peers that do not exist or are all dead.
Test(membership, isolated_host_serves_with_known_configuration)
{
    control_fleet fleet(3);
    fleet.isStoreUp = false;
    fleet.start(0, { control_fleet::addressOf(1) });
    const auto state = [&] { return fleet.hosts[0].snapshot->sync; };
    fleet.run(seconds { 5 });
    cr_assert(state() == core::sync_state::Starting);
    fleet.isStoreUp = true;
    fleet.run(milliseconds { 20 });
    cr_assert(state() == core::sync_state::Isolated);

    fleet.start(1, { control_fleet::addressOf(0) });
    cr_assert(fleet.runUntil([&] { return state() == core::sync_state::Synchronized; }, seconds { 3 }));
    fleet.hosts[0].isPaused = true;
    fleet.run(milliseconds { 1100 });
    fleet.isStoreUp = false;
    fleet.stop(1);
    fleet.hosts[0].isPaused = false;
    fleet.run(seconds { 2 }, [&] { cr_assert(state() == core::sync_state::Unsynchronized); });
    cr_assert(fleet.runUntil([&] { return state() == core::sync_state::Isolated; }, milliseconds { 1200 }));
}

// Guards against a host that stays unsynchronized because a peer that died had a higher applied index than
// all others.
Test(membership, dead_peer_ahead_does_not_block)
{
    control_fleet fleet = startFleet(3);
    fleet.isStoreUp = false;
    fleet.isCut = [](std::size_t from, std::size_t to) { return from == 0 && to == 1; };
    fleet.hosts[0].isPaused = true;
    fleet.run(milliseconds { 1100 });
    fleet.hosts[1].engine->handleStoreEntries({}, { 50 }, fleet.now);
    fleet.run(milliseconds { 10 });
    fleet.isCut = [](std::size_t from, std::size_t to) { return from + to == 3; };
    fleet.hosts[0].isPaused = false;
    fleet.run(milliseconds { 20 });
    fleet.stop(1);
    const auto isReady = [&] { return fleet.hosts[0].snapshot->sync == core::sync_state::Synchronized; };
    cr_assert(fleet.runUntil(isReady, seconds { 4 }).has_value());
}
