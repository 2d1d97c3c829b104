#pragma once

#include <array>
#include <chrono>

namespace shallotcove::soak {

/// Times, counted from the first copy, at which callers send the copies of an opening packet, as documented
/// by the platform.
inline constexpr std::array<std::chrono::milliseconds, 3> openingCopyAges { std::chrono::milliseconds { 0 },
    std::chrono::milliseconds { 200 }, std::chrono::milliseconds { 600 } };

} // namespace shallotcove::soak
