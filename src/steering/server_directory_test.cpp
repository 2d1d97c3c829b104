#include <shallotcove/steering/server_directory.hpp>

#include <algorithm>
#include <ctime>

#include <criterion/criterion.h>

#include "steering_fixture.hpp"

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

double processorSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

/// Shortest processor time of three runs, each of which adds the given number of servers to a new directory.
double timeToAdd(std::size_t servers)
{
    double shortest = 1e9;
    for (int run = 0; run < 3; ++run) {
        server_directory directory(optionsOf());
        const double start = processorSeconds();
        for (std::size_t number = 1; number <= servers; ++number)
            directory.apply(serverEntry("i-" + std::to_string(number)), at(0));
        shortest = std::min(shortest, processorSeconds() - start);
    }
    return shortest;
}

} // namespace

// If each added server rebuilt the list of its service, a host would take seconds to start with thousands of
// servers, as the time would grow with the square of their number.
Test(server_directory, time_to_add_servers_grows_linearly)
{
    // If each server rebuilt the list, eight times as many servers would take 64 times as long.
    cr_assert(timeToAdd(8000) < 24 * timeToAdd(1000));
}

// A server whose entry is removed, or moves to another service or data centre, must no longer be listed or
// counted where it was before.
Test(server_directory, servers_follow_their_entries)
{
    server_directory directory(optionsOf());
    for (const char* const id : { "i-3", "i-1", "i-2" })
        directory.apply(serverEntry(id), at(0));
    const std::vector<server_record*>& servers = directory.serversOf("booking");
    cr_assert(servers.size() == 3 && directory.countInDataCentreOf(*servers[0]) == 3);
    cr_assert(std::is_sorted(servers.begin(), servers.end(),
        [](const server_record* left, const server_record* right) { return left->tag < right->tag; }));
    directory.apply(serverEntry("i-2", "b", "media"), at(1));
    cr_assert(directory.serversOf("booking").size() == 2 && directory.serversOf("media").size() == 1);
    cr_assert_eq(directory.countInDataCentreOf(*directory.find(tagOf("i-2"))), 1);
    cr_assert_eq(directory.countInDataCentreOf(*directory.find(tagOf("i-1"))), 2);
    directory.remove("i-2", false, at(2));
    directory.remove("i-1", true, at(2));
    cr_assert(directory.serversOf("media").empty() && directory.serversOf("booking").size() == 2);
    directory.expire(at(3000));
    cr_assert_eq(directory.serversOf("booking").size(), 1);
    directory.apply(serverEntry("i-1"), at(3001));
    cr_assert_eq(directory.serversOf("booking").size(), 2);
}

// A server that restarts under its id has lost its flows, so another one that waits for the tag must get it.
// An update of a waiting server must not change the holder.
Test(server_directory, restarted_server_loses_a_shared_tag)
{
    const auto [first, second] = serversWithOneTag();
    const server_tag tag = tagOf(first.id);
    server_directory directory(optionsOf());
    cr_assert(directory.apply(first, at(0)) && !directory.apply(second, at(0)));
    cr_assert(!directory.apply(second, at(10)) && directory.takeReassignedTags().empty());
    cr_assert(directory.find(tag)->coldUntil == at(0));
    server_entry restarted = first;
    restarted.startedAtMs = second.startedAtMs + 1;
    cr_assert(!directory.apply(restarted, at(20)));
    cr_assert(directory.find(tag)->entry == second && directory.serversOf("booking").size() == 1);
    cr_assert(directory.takeReassignedTags() == std::vector { tag });
}

// While the removal of the holder is uncertain it may still have flows. After that it must not come back from
// the list of waiting servers.
Test(server_directory, uncertain_holder_keeps_a_shared_tag_until_its_removal_is_certain)
{
    const auto [first, second] = serversWithOneTag();
    const server_tag tag = tagOf(first.id);
    server_directory directory(optionsOf());
    directory.apply(first, at(0));
    directory.remove(first.id, true, at(1));
    cr_assert(!directory.apply(second, at(2)));
    directory.expire(at(3000));
    cr_assert(directory.find(tag)->entry == second);
    directory.remove(second.id, false, at(3001));
    cr_assert(directory.serversOf("booking").empty());
}
