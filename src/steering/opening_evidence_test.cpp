#include <shallotcove/steering/opening_evidence.hpp>

#include <criterion/criterion.h>

#include "steering_fixture.hpp"

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

// A suspect server must be tried again if its only trial remains without a result, because the caller left or
// the host was paused. Found by the soak with seed 54, 20 s after a link was cut.
Test(opening_evidence, lost_trial_is_followed_by_another)
{
    const steering_options options;
    opening_evidence evidence;
    evidence.recordUnanswered(at(0), 1, options);
    cr_assert(evidence.isSuspect() && !evidence.admits(at(999)));
    cr_assert(evidence.admits(at(1000)));
    evidence.recordPlacement(at(1000));
    cr_assert(!evidence.admits(at(1001)) && !evidence.admits(at(1999)), "one trial at a time");
    cr_assert(evidence.admits(at(2000)));
}

// Each failed trial must double the time until the next one, up to the maximum.
Test(opening_evidence, failed_trials_double_the_pause_up_to_the_maximum)
{
    const steering_options options;
    opening_evidence evidence;
    evidence.recordUnanswered(at(0), 1, options);
    double now = 0;
    for (const double pause : { 1000.0, 2000.0, 4000.0, 4000.0 }) {
        cr_assert(!evidence.admits(at(now + pause - 1)) && evidence.admits(at(now + pause)));
        now += pause;
        evidence.recordPlacement(at(now));
        evidence.recordUnanswered(at(now), 1, options);
    }
    evidence.recordAnswered();
    cr_assert(evidence.admits(at(now)) && !evidence.isSuspect());
}
