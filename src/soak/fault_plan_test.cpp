#include "fault_plan.hpp"

#include <set>

#include <criterion/criterion.h>

#include "soak_options.hpp"

using namespace shallotcove::soak;

// Guards against a plan that is not reproducible from its seed.
Test(fault_plan, same_options_give_the_same_faults)
{
    soak_options options;
    options.seed = 7;
    cr_assert(planFaults(options) == planFaults(options));
    soak_options otherOptions = options;
    otherOptions.seed = 8;
    cr_assert(planFaults(options) != planFaults(otherOptions));
}

// Guards against fault kinds that the plan never generates, and against faults that begin during the warm-up
// or have no duration.
Test(fault_plan, fifty_seeds_cover_all_fault_kinds)
{
    std::set<fault_kind> kinds;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        soak_options options;
        options.seed = seed;
        for (const fault& planned : planFaults(options)) {
            kinds.insert(planned.kind);
            cr_assert(planned.at >= warmUpTime && planned.duration.count() > 0);
        }
    }
    cr_assert_eq(kinds.size(), faultKindCount);
}
