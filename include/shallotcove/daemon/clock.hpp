#pragma once

#include <shallotcove/core/time.hpp>

namespace shallotcove::daemon {

/// The monotonic clock that all threads of the process pass to the decision logic.
inline core::timestamp monotonicNow() { return { std::chrono::steady_clock::now().time_since_epoch() }; }

} // namespace shallotcove::daemon
