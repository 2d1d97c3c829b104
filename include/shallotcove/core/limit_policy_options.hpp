#pragma once

#include <chrono>
#include <cstdint>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct limit_policy_options {
    /// Interval at which collected evidence is evaluated and limits grow.
    duration period { std::chrono::seconds { 2 } };
    double growthFactor { 1.5 };
    /// Shares of bad outcomes (silent flows and repeated first packets over all outcomes): a limit is set or
    /// tightened from overloadBadShare on, and grows up to healthyBadShare.
    double overloadBadShare { 0.25 };
    double healthyBadShare { 0.05 };
    /// Share of bad outcomes from which on a server counts as dead.
    double deadBadShare { 0.95 };
    /// Consecutive periods with the same health probe result after which that result takes effect.
    std::uint32_t healthPeriods { 2 };
    /// A limit is cleared when it reaches the server's configured capacity, or this multiple of its cold
    /// capacity if none is configured.
    std::uint32_t clearMultiple { 64 };
    /// Outcomes in a period below which the share of bad ones is not evaluated.
    std::uint32_t minimumFlows { 8 };
    /// Largest share of a service's active servers that may be limited as dead.
    double maximumDeadShare { 1.0 / 3.0 };
};

} // namespace shallotcove::core
