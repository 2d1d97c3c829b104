#pragma once

#include <chrono>

namespace shallotcove::core {

using duration = std::chrono::nanoseconds;

/// Monotonic time since an arbitrary start. The core library never reads a clock; its callers pass the time
/// in.
struct timestamp {
    duration sinceStart {};

    friend constexpr auto operator<=>(const timestamp&, const timestamp&) = default;
    friend constexpr timestamp operator+(timestamp time, duration length)
    {
        return { time.sinceStart + length };
    }
    friend constexpr timestamp operator-(timestamp time, duration length)
    {
        return { time.sinceStart - length };
    }
    friend constexpr duration operator-(timestamp later, timestamp earlier)
    {
        return later.sinceStart - earlier.sinceStart;
    }
};

} // namespace shallotcove::core
