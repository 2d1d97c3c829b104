#pragma once

#include <array>
#include <chrono>

namespace shallotcove::soak {

/// When callers send the first packet of a flow and its copies, as the platform's pages say.
inline constexpr std::array<std::chrono::milliseconds, 3> openingCopyAges { std::chrono::milliseconds { 0 },
    std::chrono::milliseconds { 200 }, std::chrono::milliseconds { 600 } };

} // namespace shallotcove::soak
