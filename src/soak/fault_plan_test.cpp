#include "fault_plan.hpp"

#include <set>

#include <criterion/criterion.h>

#include "soak_options.hpp"

using namespace shallotcove::soak;

// Guards against a seed that cannot be played again.
Test(fault_plan, same_seed_gives_the_same_faults)
{
    soak_options options;
    options.seed = 7;
    cr_assert(planFaults(options) == planFaults(options));
    soak_options other = options;
    other.seed = 8;
    cr_assert(planFaults(options) != planFaults(other));
}

// Guards against kinds of faults that no seed brings, and against faults outside their time.
Test(fault_plan, all_kinds_come_within_fifty_seeds)
{
    std::set<fault_kind> kinds;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        soak_options options;
        options.seed = seed;
        for (const fault& planned : planFaults(options)) {
            kinds.insert(planned.kind);
            cr_assert(planned.at >= calmStart && planned.length.count() > 0);
        }
    }
    cr_assert_eq(kinds.size(), faultKindCount);
}
