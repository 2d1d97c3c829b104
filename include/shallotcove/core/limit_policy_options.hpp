#pragma once

#include <chrono>
#include <cstdint>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct limit_policy_options {
    /// Period in which evidence is judged and limits grow.
    duration period { std::chrono::seconds { 2 } };
    double growthFactor { 1.5 };
    /// Shares of bad outcomes (silent flows and repeated first packets over flows) that count as trouble and
    /// as good.
    double troubleShare { 0.25 };
    double goodShare { 0.05 };
    /// Share of bad outcomes at which a server is taken for dead.
    double deadShare { 0.95 };
    /// Periods in a row with the same result of the health probes before it counts.
    std::uint32_t healthPeriods { 2 };
    /// A limit is cleared at the server's stated capacity, or at this multiple of its cold capacity where
    /// none is stated.
    std::uint32_t clearMultiple { 64 };
    /// Flows that must have been judged before a share means anything.
    std::uint32_t minimumFlows { 8 };
    /// Largest share of a service's servers that may be limited as dead.
    double maximumDeadShare { 1.0 / 3.0 };
};

} // namespace shallotcove::core
