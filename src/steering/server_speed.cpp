#include <shallotcove/steering/server_speed.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace shallotcove::steering {

namespace {

    constexpr std::chrono::duration<double> halfLife { 3.0 };
    // A server that becomes three times as slow is detected within ten answers. More would delay detection
    // and recovery; with fewer, the spread of work would look like slowness.
    constexpr double maximumWeight = 8;
    constexpr double minimumWeight = 4;
    constexpr double minimumSlowness = 1.5;
    // Bounds the effect of a single answer and of a report.
    constexpr double maximumSlowness = 4;
    // Least standard deviation that is assumed for the logarithm of the answer times: where work varies by
    // half and 3% of the requests take 7 times as long, with single answers bounded by maximumSlowness. A
    // service whose routes need different work has a larger one, which is measured.
    constexpr double minimumDeviation = 0.4;
    // The variance changes more slowly than the mean: some requests in a row with much work must not look
    // like a slow server whose answer times hardly vary.
    constexpr double varianceWeight = 32;
    // Standard errors by which the mean has to exceed minimumSlowness. With 1, servers counted as slow for
    // 0.4% of the answers where 30% of the requests take five times as long.
    constexpr double marginDeviations = 1.5;
    // Reports of all other hosts together count as at most this many answers, enough to be conclusive without
    // answers of this host, but too few to outvote a host whose answers come in time.
    constexpr double maximumReportWeight = 4;
    constexpr double tenths = 10;

    /// Slowness if the mean logarithm of that many answers is conclusive, otherwise 1.
    double conclusiveSlowness(double meanLog, double variance, double weight)
    {
        const double deviation = std::max(minimumDeviation, std::sqrt(variance));
        if (weight < minimumWeight
            || meanLog - marginDeviations * deviation / std::sqrt(weight) < std::log(minimumSlowness))
            return 1;
        return std::min(std::exp(meanLog), maximumSlowness);
    }

    double logOfReport(std::uint8_t slownessTenths)
    {
        return std::log(std::clamp(slownessTenths / tenths, 1.0, maximumSlowness));
    }

} // namespace

void server_speed::record(double relativeTime, core::timestamp now)
{
    const double sample = std::clamp(
        std::log(std::max(relativeTime, 1e-3)), -std::log(maximumSlowness), std::log(maximumSlowness));
    m_weight = std::min(weight(now) + 1, maximumWeight);
    const double difference = sample - m_meanLog;
    m_meanLog += difference / m_weight;
    m_variance += (difference * (sample - m_meanLog) - m_variance) / varianceWeight;
    m_recordedAt = now;
}

void server_speed::addReport(std::uint8_t slownessTenths)
{
    if (slownessTenths == 0)
        return;
    ++m_reports;
    m_reportLogSum += logOfReport(slownessTenths);
}

void server_speed::removeReport(std::uint8_t slownessTenths)
{
    // The record may have been reset since the report was added.
    if (slownessTenths == 0 || m_reports == 0)
        return;
    --m_reports;
    m_reportLogSum = m_reports == 0 ? 0 : std::max(0.0, m_reportLogSum - logOfReport(slownessTenths));
}

double server_speed::weight(core::timestamp now) const
{
    const std::chrono::duration<double> age = std::max(now - m_recordedAt, core::duration::zero());
    return m_weight * std::exp2(-age / halfLife);
}

double server_speed::ownSlowness(double referenceLog, core::timestamp now) const
{
    return conclusiveSlowness(m_meanLog - referenceLog, m_variance, weight(now));
}

double server_speed::slowness(std::optional<double> referenceLog, core::timestamp now) const
{
    if (m_reports == 0)
        return referenceLog ? ownSlowness(*referenceLog, now) : 1;
    const double reports = static_cast<double>(m_reports);
    const double reportWeight = std::min(reports, maximumReportWeight);
    const double ownWeight = referenceLog ? weight(now) : 0;
    const double sum
        = ownWeight * (m_meanLog - referenceLog.value_or(0)) + reportWeight * m_reportLogSum / reports;
    const double totalWeight = ownWeight + reportWeight;
    return conclusiveSlowness(sum / totalWeight, ownWeight > 0 ? m_variance : 0, totalWeight);
}

std::uint8_t slownessTenths(double slowness)
{
    return slowness < minimumSlowness
        ? 0
        : static_cast<std::uint8_t>(std::lround(tenths * std::min(slowness, maximumSlowness)));
}

} // namespace shallotcove::steering
