#pragma once

#include <chrono>

#include <shallotcove/core/time.hpp>

namespace shallotcove::soak {

inline core::timestamp soakNow() { return { std::chrono::steady_clock::now().time_since_epoch() }; }

} // namespace shallotcove::soak
