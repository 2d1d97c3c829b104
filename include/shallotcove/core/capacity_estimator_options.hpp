#pragma once

#include <chrono>
#include <cstdint>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct capacity_estimator_options {
    /// A host that has not reported for this long no longer counts.
    duration reportLifetime { std::chrono::seconds { 15 } };
    /// Time constant of the averages.
    duration smoothing { std::chrono::seconds { 20 } };
    /// Shortest time between two corrections of a service. Flows placed before a correction have to end
    /// before it shows, so a shorter time corrects the same deviation twice.
    duration correctionInterval { std::chrono::seconds { 30 } };
    /// Part of a deviation that one correction takes away.
    double gain { 0.8 };
    /// Smallest deviation that is worth an epoch, relative to the server's due share.
    double smallestDeviation { 0.06 };
    /// Standard deviations of pure hashing that a deviation must exceed.
    double noiseMultiple { 3 };
    double smallestFactor { 0.25 };
    double largestFactor { 2 };
    /// Share of bad outcomes above which a server gets no larger factor: one that drops flows has few open.
    double troubleShare { 0.05 };
    /// Active flows below which a host's shares of a service mean nothing.
    std::uint32_t minimumFlows { 64 };
};

} // namespace shallotcove::core
