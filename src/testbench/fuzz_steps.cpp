#include "fuzz_steps.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include <rapidcheck.h>

#include "fuzz_world.hpp"
#include "oracle_predicates.hpp"

namespace shallotcove::testbench {

namespace {

    using step_sequence = std::vector<fuzz_step>;

    rc::Gen<fuzz_step> stepGenerator(std::uint64_t seed)
    {
        std::vector<std::pair<std::size_t, fuzz_step_kind>> weights { { 14, fuzz_step_kind::Run },
            { 3, fuzz_step_kind::Burst }, { 2, fuzz_step_kind::ReusePairs }, { 3, fuzz_step_kind::AddServer },
            { 3, fuzz_step_kind::DrainServer }, { 2, fuzz_step_kind::UndrainServer },
            { 1, fuzz_step_kind::RemoveServer }, { 3, fuzz_step_kind::SetWeight },
            { 2, fuzz_step_kind::CreateService }, { 1, fuzz_step_kind::RemoveService },
            { 1, fuzz_step_kind::DataCentreOut }, { 2, fuzz_step_kind::DataCentreIn },
            { 1, fuzz_step_kind::LeaveHost }, { 2, fuzz_step_kind::StartHost } };
        // The oracle allows exceptions around faults. If every sequence contained all kinds of faults, these
        // exceptions would hide defects in the handling of planned changes.
        if (seed % 2 == 0) {
            weights.insert(weights.end(),
                { { 1, fuzz_step_kind::KillHost }, { 1, fuzz_step_kind::PauseHost },
                    { 1, fuzz_step_kind::KillServer } });
        }
        if (seed % 4 >= 2) {
            weights.insert(weights.end(),
                { { 1, fuzz_step_kind::Partition }, { 1, fuzz_step_kind::MessageLoss },
                    { 1, fuzz_step_kind::StoreAway }, { 1, fuzz_step_kind::StoreSlow },
                    { 1, fuzz_step_kind::LostWrite } });
        }
        return rc::gen::construct<fuzz_step>(
            rc::gen::mapcat(rc::gen::just(weights),
                [](const std::vector<std::pair<std::size_t, fuzz_step_kind>>& all) {
                    std::vector<fuzz_step_kind> kinds;
                    for (const auto& [weight, kind] : all)
                        kinds.insert(kinds.end(), weight, kind);
                    return rc::gen::elementOf(kinds);
                }),
            rc::gen::inRange<std::uint32_t>(0, 1U << 16));
    }

    /// Generates a sequence of this length; it shrinks by removing steps.
    rc::Shrinkable<step_sequence> shrinkableSteps(std::uint64_t seed, std::size_t count)
    {
        const rc::Gen<step_sequence> fixed = rc::gen::container<step_sequence>(count, stepGenerator(seed));
        // rapidcheck scales the range of numbers by its size parameter; 100 is the whole range.
        const step_sequence generated = fixed(rc::Random(seed), 100).value();
        return rc::shrinkable::shrinkRecur(
            generated, [](const step_sequence& longer) { return rc::shrink::removeChunks(longer); });
    }

    violation checkInvariant(const run_history& history, const std::string& invariant)
    {
        for (const named_predicate& predicate : allPredicates)
            if (predicate.name == invariant)
                return predicate.check(history);
        return {};
    }

    void shrink(fuzz_failure& failure, const fuzz_options& options)
    {
        rc::Shrinkable<step_sequence> smallest = shrinkableSteps(failure.seed, options.steps);
        std::size_t runs = options.shrinkRuns;
        for (bool isShrunk = true; isShrunk && runs > 0;) {
            isShrunk = false;
            rc::Seq<rc::Shrinkable<step_sequence>> candidates = smallest.shrinks();
            for (rc::Maybe<rc::Shrinkable<step_sequence>> next = candidates.next(); next && runs > 0;
                 next = candidates.next(), --runs) {
                const violation found = checkInvariant(
                    runSequence(failure.seed, next->value(), options.variant), failure.invariant);
                if (!found)
                    continue;
                smallest = *next;
                failure.message = *found;
                isShrunk = true;
                break;
            }
        }
        failure.shrunk = smallest.value();
    }

} // namespace

std::ostream& operator<<(std::ostream& out, const fuzz_step& step)
{
    constexpr std::array names { "Run", "Burst", "ReusePairs", "AddServer", "DrainServer", "UndrainServer",
        "RemoveServer", "SetWeight", "CreateService", "RemoveService", "DataCentreOut", "DataCentreIn",
        "LeaveHost", "StartHost", "KillHost", "PauseHost", "KillServer", "Partition", "MessageLoss",
        "StoreAway", "StoreSlow", "LostWrite" };
    return out << names.at(static_cast<std::size_t>(step.kind)) << ' ' << step.number;
}

std::vector<fuzz_step> generateSteps(std::uint64_t seed, std::size_t count)
{
    return shrinkableSteps(seed, count).value();
}

run_history runSequence(std::uint64_t seed, const std::vector<fuzz_step>& sequence, broken_variant variant)
{
    fuzz_world world(seed, variant);
    for (const fuzz_step& step : sequence)
        world.apply(step);
    world.settle();
    return world.history();
}

std::optional<fuzz_failure> fuzz(const fuzz_options& options)
{
    for (std::size_t index = 0; index < options.sequences; ++index) {
        const std::uint64_t seed = options.seed + index;
        const run_history history = runSequence(seed, generateSteps(seed, options.steps), options.variant);
        for (const named_predicate& predicate : allPredicates) {
            if (!options.invariant.empty() && options.invariant != predicate.name)
                continue;
            const violation found = predicate.check(history);
            if (!found)
                continue;
            fuzz_failure failure { predicate.name, *found, seed, options.steps, {},
                (index + 1) * options.steps };
            shrink(failure, options);
            return failure;
        }
    }
    return std::nullopt;
}

std::string describe(const fuzz_failure& failure, const fuzz_options& options)
{
    std::ostringstream text;
    text << failure.invariant << " is violated: " << failure.message << "\nafter " << failure.stepsTried
         << " steps tried; shrunk to " << failure.shrunk.size() << " steps:";
    for (const fuzz_step& step : failure.shrunk)
        text << ' ' << step << ',';
    text << "\nreproduce with: fleet_fuzz --seed " << failure.seed << " --steps " << failure.steps
         << " --invariant " << failure.invariant;
    if (options.variant != broken_variant::None)
        text << " --broken " << static_cast<int>(options.variant);
    return text.str();
}

} // namespace shallotcove::testbench
