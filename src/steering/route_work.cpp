#include <shallotcove/steering/route_work.hpp>

#include <algorithm>

namespace shallotcove::steering {

namespace {

    // Each estimate takes about 100 bytes. Beyond this number the one without samples for longest is dropped.
    constexpr std::size_t maximumEstimates = 1024;
    // Weight of a new sample is one in this number, so that the mean follows a change within about 30
    // requests and one slow request hardly moves it.
    constexpr std::uint32_t sampleWeight = 16;
    // Work times vary by half of their mean; the mean of four samples is within a quarter of it.
    constexpr std::uint32_t minimumSamples = 4;
    // An estimate without samples for this long may describe an earlier version of the service.
    constexpr std::chrono::seconds estimateLifetime { 60 };
    // A single sample counts for at most this multiple of the mean: 3% of the requests take seven times as
    // long as others.
    constexpr int maximumSampleRatio = 4;

} // namespace

template <typename Key>
void learned_work<Key>::record(const Key& key, core::duration work, core::timestamp now)
{
    if (!m_estimates.contains(key))
        makeRoom(now);
    work_estimate& estimate = m_estimates[key];
    if (now - estimate.updatedAt >= estimateLifetime)
        estimate = {};
    if (estimate.samples == 0) {
        estimate = { work, {}, 1, now };
        return;
    }
    const core::duration sample = std::min(work, maximumSampleRatio * estimate.mean);
    const std::uint32_t weight = std::min(estimate.samples + 1, sampleWeight);
    const core::duration deviation = sample - estimate.mean;
    estimate.mean += deviation / weight;
    estimate.spread += (std::chrono::abs(deviation) - estimate.spread) / weight;
    ++estimate.samples;
    estimate.updatedAt = now;
}

template <typename Key>
std::optional<work_estimate> learned_work<Key>::find(const Key& key, core::timestamp now) const
{
    const auto found = m_estimates.find(key);
    if (found == m_estimates.end() || found->second.samples < minimumSamples
        || now - found->second.updatedAt >= estimateLifetime)
        return std::nullopt;
    return found->second;
}

template <typename Key> void learned_work<Key>::makeRoom(core::timestamp now)
{
    if (m_estimates.size() < maximumEstimates)
        return;
    std::erase_if(
        m_estimates, [now](const auto& entry) { return now - entry.second.updatedAt >= estimateLifetime; });
    if (m_estimates.size() < maximumEstimates)
        return;
    m_estimates.erase(std::min_element(m_estimates.begin(), m_estimates.end(),
        [](const auto& left, const auto& right) { return left.second.updatedAt < right.second.updatedAt; }));
}

template class learned_work<route_address>;
template class learned_work<std::string>;

} // namespace shallotcove::steering
