#include <shallotcove/steering/opening_timer.hpp>

#include <algorithm>

#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

void opening_timer::record(const std::string& dataCentre, core::duration elapsed)
{
    const auto [found, isFirst] = m_estimates.try_emplace(dataCentre);
    estimate& known = found->second;
    if (isFirst) {
        known = { elapsed, elapsed / 2 };
        return;
    }
    known.deviation += (std::chrono::abs(elapsed - known.mean) - known.deviation) / 4;
    known.mean += (elapsed - known.mean) / 8;
}

core::duration opening_timer::patience(const std::string& dataCentre, const steering_options& options) const
{
    const auto found = m_estimates.find(dataCentre);
    if (found == m_estimates.end())
        return options.firstOpeningPatience;
    return std::clamp(found->second.mean + 4 * found->second.deviation, options.shortestOpeningPatience,
        options.longestOpeningPatience);
}

} // namespace shallotcove::steering
