#include <shallotcove/core/epoch_pruning.hpp>

#include <algorithm>
#include <optional>

#include <shallotcove/core/rendezvous.hpp>

namespace shallotcove::core {

namespace {

    using choices = std::vector<std::optional<backend_server_id>>;

    choices choicesOf(const std::vector<epoch_plan>& epochs, std::uint64_t sample)
    {
        // Rendezvous hashing mixes its input, so consecutive numbers stand for unrelated flows.
        const flow_hash flow { sample, sample };
        choices result;
        result.reserve(epochs.size());
        for (const epoch_plan& epoch : epochs)
            result.push_back(chooseServer(flow, epoch.servers));
        return result;
    }

    /// Position of the only epoch that chooses a different server while all others agree; nothing if there is
    /// none.
    std::optional<std::size_t> findOnlyDifferingEpoch(const choices& chosen)
    {
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            const std::optional<backend_server_id>& other = chosen[i == 0 ? 1 : 0];
            if (chosen[i] != other
                && std::count(chosen.begin(), chosen.end(), other)
                    == static_cast<std::ptrdiff_t>(chosen.size()) - 1)
                return i;
        }
        return std::nullopt;
    }

} // namespace

std::vector<epoch_plan> pruneEpochs(const std::vector<epoch_plan>& epochs)
{
    if (epochs.size() < 3)
        return epochs;
    std::vector<std::size_t> dependentFlows(epochs.size());
    for (std::uint64_t sample = 0; sample < pruningSamples; ++sample) {
        if (const std::optional<std::size_t> differing = findOnlyDifferingEpoch(choicesOf(epochs, sample)))
            ++dependentFlows[*differing];
    }
    const auto fewestDependents = std::min_element(dependentFlows.begin() + 1, dependentFlows.end() - 1);
    std::vector<epoch_plan> remaining = epochs;
    remaining.erase(remaining.begin() + (fewestDependents - dependentFlows.begin()));
    return remaining;
}

} // namespace shallotcove::core
