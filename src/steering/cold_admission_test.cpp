#include <shallotcove/steering/cold_admission.hpp>

#include <algorithm>

#include <criterion/criterion.h>

#include "steering_fixture.hpp"

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

std::vector<std::uint32_t> hostsUpTo(std::uint32_t count)
{
    std::vector<std::uint32_t> hosts;
    for (std::uint32_t host = 1; host <= count; ++host)
        hosts.push_back(host);
    return hosts;
}

} // namespace

// The shares of all hosts must add up to the limit of a cold server, neither more nor much less.
Test(cold_admission, shares_add_up_to_the_limit)
{
    for (const std::uint32_t count : { 1U, 3U, 8U, 78U }) {
        for (const double limit : { 1.0, 5.0, 20.0, 100.0 }) {
            std::size_t total = 0;
            for (const std::uint32_t self : hostsUpTo(count)) {
                cold_admission admission;
                admission.setHosts(hostsUpTo(count), self);
                total += admission.shareOf(tagOf("i-1"), limit);
            }
            cr_assert(
                total == static_cast<std::size_t>(limit), "%u hosts, limit %f: %zu", count, limit, total);
        }
    }
}

// Hosts with different host lists must not exceed the limit by more than half, which is what the platform
// tolerates.
Test(cold_admission, views_that_differ_by_one_host_stay_within_the_tolerance)
{
    const std::size_t limit = 24;
    std::size_t total = 0;
    for (const std::uint32_t self : hostsUpTo(8)) {
        // Half of the hosts do not know the newest host yet.
        std::vector<std::uint32_t> view = hostsUpTo(self % 2 == 0 ? 8 : 7);
        if (std::find(view.begin(), view.end(), self) == view.end())
            view.push_back(self);
        cold_admission admission;
        admission.setHosts(view, self);
        total += admission.shareOf(tagOf("i-1"), limit);
    }
    cr_assert(total <= limit * 3 / 2, "%zu", total);
}

// No interval of one second may contain more flows than the share of the host.
Test(cold_admission, no_second_exceeds_the_share)
{
    cold_admission admission;
    admission.setHosts({ 1, 2 }, 1);
    int placed = 0;
    for (double now = 0; now < 3000; now += 10) {
        if (!admission.admits(tagOf("i-1"), 10, at(now)))
            continue;
        admission.recordPlacement(tagOf("i-1"), at(now));
        ++placed;
    }
    cr_assert(placed >= 14 && placed <= 15, "%d", placed);
}

// A host that knows no other host yet must not take the whole limit.
Test(cold_admission, minimum_host_count_is_assumed)
{
    cold_admission admission;
    admission.setMinimumHosts(16);
    admission.setHosts({ 1 }, 1);
    cr_assert(admission.shareOf(tagOf("i-1"), 32) == 2);
}
