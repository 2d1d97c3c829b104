#include <shallotcove/core/epoch_pruning.hpp>

#include <cstdint>
#include <vector>

#include <criterion/criterion.h>

namespace core = shallotcove::core;

namespace {

/// An epoch with eight servers of weight 100, except for the weight of the first one; 0 leaves it out.
core::epoch_plan makePlan(std::uint64_t number, std::uint32_t firstWeight)
{
    core::epoch_plan plan { { number }, core::epoch_phase::Active, {} };
    if (firstWeight != 0)
        plan.servers.push_back({ { 1 }, firstWeight });
    for (std::uint32_t id = 2; id <= 8; ++id)
        plan.servers.push_back({ { id }, 100 });
    return plan;
}

std::vector<core::epoch_plan> makeEpochs(const std::vector<std::uint32_t>& firstWeights)
{
    std::vector<core::epoch_plan> epochs;
    for (const std::uint32_t weight : firstWeights)
        epochs.push_back(makePlan(epochs.size() + 1, weight));
    return epochs;
}

} // namespace

// A drain that was cancelled leaves an epoch that differs from all others. Pruning must not drop it, because
// the flows placed during the drain depend on it.
Test(epoch_pruning, keeps_the_epoch_that_flows_depend_on)
{
    // Only epoch 2 is without server 1; epoch 3 differs little from its neighbours.
    const std::vector<core::epoch_plan> pruned = core::pruneEpochs(makeEpochs({ 100, 0, 100, 99, 98 }));
    cr_assert(pruned.size() == 4);
    cr_assert(pruned[0].number.value == 1);
    cr_assert(pruned[1].number.value == 2);
    cr_assert(pruned.back().number.value == 5);
}

// Pruning must keep the base epoch, by which hosts find the server of untracked flows, and the active one.
Test(epoch_pruning, keeps_first_and_last)
{
    const std::vector<core::epoch_plan> pruned
        = core::pruneEpochs(makeEpochs({ 100, 80, 60, 40, 20, 10, 5, 1 }));
    cr_assert(pruned.size() == 7);
    cr_assert(pruned.front().number.value == 1);
    cr_assert(pruned.back().number.value == 8);
    cr_assert(core::pruneEpochs(makeEpochs({ 100, 50 })) == makeEpochs({ 100, 50 }));
}
