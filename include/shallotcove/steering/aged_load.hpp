#pragma once

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

/// Sum of the loads that several hosts reported for one server. The difference of each report from the mean
/// of the recent reports of its host decays with exp(-age / service time): a burst has then been served,
/// while a steady load is still best estimated by the last report.
class aged_load {
public:
    /// Decays all differences to the given time.
    void advance(core::timestamp now, core::duration serviceTime);
    /// Adds a report, as of the time of the last advance().
    void add(double mean, double difference);
    /// Removes a report that was added when age() had the given value.
    void remove(double mean, double difference, double ageWhenAdded);

    /// Time in units of the service time, counted from the first advance().
    double age() const { return m_age; }
    /// The load as of the last advance().
    double value() const;

private:
    double m_mean {};
    double m_difference {};
    double m_age {};
    core::timestamp m_advancedAt;
};

} // namespace shallotcove::steering
