#pragma once

#include <chrono>
#include <cstdint>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct capacity_estimator_options {
    /// Time after which a host's last report is dropped.
    duration reportLifetime { std::chrono::seconds { 15 } };
    /// Time constant of the averages.
    duration smoothing { std::chrono::seconds { 20 } };
    /// Shortest time between two corrections of a service. The effect of a correction shows only after flows
    /// placed before it have ended, so a shorter interval would correct the same deviation twice.
    duration correctionInterval { std::chrono::seconds { 30 } };
    /// Part of a deviation that one correction compensates.
    double gain { 0.8 };
    /// Smallest deviation that justifies a new epoch, relative to the share that the server's weight calls
    /// for.
    double minimumDeviation { 0.06 };
    /// A deviation must exceed this many standard deviations of the variation that hashing alone causes.
    double noiseMultiple { 3 };
    double minimumFactor { 0.25 };
    double maximumFactor { 2 };
    /// Share of bad outcomes above which a server's factor is not raised: a server that drops flows also has
    /// few active ones.
    double maximumBadShare { 0.05 };
    /// Hosts with fewer active flows of a service are left out of its shares.
    std::uint32_t minimumFlows { 64 };
};

} // namespace shallotcove::core
