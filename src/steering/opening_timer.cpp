#include <shallotcove/steering/opening_timer.hpp>

#include <algorithm>

#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

void opening_timer::record(const std::string& dataCentre, core::duration elapsed)
{
    const auto [found, isFirst] = m_estimates.try_emplace(dataCentre);
    estimate& current = found->second;
    if (isFirst) {
        current = { elapsed, elapsed / 2 };
        return;
    }
    current.deviation += (std::chrono::abs(elapsed - current.mean) - current.deviation) / 4;
    current.mean += (elapsed - current.mean) / 8;
}

core::duration opening_timer::offerTimeout(
    const std::string& dataCentre, const steering_options& options) const
{
    const auto found = m_estimates.find(dataCentre);
    if (found == m_estimates.end())
        return options.initialOfferTimeout;
    return std::clamp(found->second.mean + 4 * found->second.deviation, options.minimumOfferTimeout,
        options.maximumOfferTimeout);
}

} // namespace shallotcove::steering
