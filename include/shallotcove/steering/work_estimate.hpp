#pragma once

#include <cstdint>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

/// Learned work of the requests of a route: the time that a slot of a server is used for one request.
struct work_estimate {
    core::duration mean {};
    /// Mean deviation from the mean.
    core::duration spread {};
    std::uint32_t samples {};
    core::timestamp updatedAt;

    friend bool operator==(const work_estimate&, const work_estimate&) = default;
};

} // namespace shallotcove::steering
