#include <shallotcove/steering/aged_load.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace shallotcove::steering {

namespace {

    // Differences have vanished after this many service times. Bounds the age for servers that had no reports
    // for long.
    constexpr double maximumStep = 30;
    constexpr std::chrono::milliseconds minimumServiceTime { 1 };

} // namespace

void aged_load::advance(core::timestamp now, core::duration serviceTime)
{
    if (now <= m_advancedAt)
        return;
    const std::chrono::duration<double> elapsed = now - m_advancedAt;
    const std::chrono::duration<double> unit = std::max<core::duration>(serviceTime, minimumServiceTime);
    const double step = std::min(elapsed / unit, maximumStep);
    m_age += step;
    m_difference *= std::exp(-step);
    m_advancedAt = now;
}

void aged_load::add(double mean, double difference)
{
    m_mean += mean;
    m_difference += difference;
}

void aged_load::remove(double mean, double difference, double ageWhenAdded)
{
    m_mean -= mean;
    m_difference -= difference * std::exp(std::min(0.0, ageWhenAdded - m_age));
}

double aged_load::value() const { return std::max(0.0, m_mean + m_difference); }

} // namespace shallotcove::steering
