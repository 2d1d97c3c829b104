#include <shallotcove/steering/readiness.hpp>

#include <criterion/criterion.h>

#include "steering_fixture.hpp"

using namespace shallotcove::steering;
using namespace shallotcove::steering::testing;

namespace {

readiness readyAt(double now)
{
    readiness state;
    state.update({ true, false, 0, false, false }, at(now));
    return state;
}

} // namespace

// Guards against callers sent to a host that knows nothing, or that is about to end.
Test(readiness, follows_knowledge_and_shutdown)
{
    readiness state;
    cr_assert(!state.update({ false, false, 0, false, false }, at(0)));
    cr_assert(
        state.update({ true, false, 0, false, false }, at(10)) && state.state() == readiness_state::Ready);
    cr_assert(
        state.update({ true, true, 0, false, false }, at(20)) && state.state() == readiness_state::Stopping);
}

// Guards against a data centre that is cut off and keeps its callers, and against leaving for one lost
// packet.
Test(readiness, isolation_needs_confirmation_and_ends_with_an_answer)
{
    readiness state = readyAt(0);
    cr_assert(!state.update({ true, false, 0.9, true, false }, at(10)));
    cr_assert(!state.update({ true, false, 0.1, true, false }, at(60)), "the share fell in between");
    cr_assert(!state.update({ true, false, 0.9, true, false }, at(70)));
    cr_assert(state.update({ true, false, 0.9, true, false }, at(175)));
    cr_assert(state.state() == readiness_state::Isolated);
    // No flows come in any more, so the share says nothing.
    cr_assert(!state.update({ true, false, 0, true, false }, at(5000)));
    cr_assert(
        state.update({ true, false, 0, true, true }, at(5100)) && state.state() == readiness_state::Ready);
}

// Guards against a whole fleet that stays out, or goes out and in, because the servers themselves are down.
Test(readiness, host_that_reaches_others_stays_in_use)
{
    readiness state = readyAt(0);
    double isolated = 0;
    for (double now = 0; now < 20000; now += 50) {
        const bool isIsolated = state.state() == readiness_state::Isolated;
        state.update({ true, false, 1, true, isIsolated }, at(now));
        isolated += state.state() == readiness_state::Isolated ? 50 : 0;
    }
    cr_assert(isolated < 0.05 * 20000, "%f", isolated);
}

// Guards against a host that stays out for ever because it knows nobody to ask.
Test(readiness, host_that_cannot_ask_tries_again)
{
    readiness state = readyAt(0);
    state.update({ true, false, 1, false, false }, at(0));
    state.update({ true, false, 1, false, false }, at(100));
    cr_assert(state.state() == readiness_state::Isolated);
    cr_assert(!state.update({ true, false, 0, false, false }, at(1500)));
    cr_assert(state.update({ true, false, 0, false, false }, at(1601)));
}
