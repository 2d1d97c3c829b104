#pragma once

#include <cstdint>

namespace shallotcove::steering {

/// Why a held request was released.
enum class hold_end : std::uint8_t {
    /// Its server had room.
    Room,
    /// It was held for the longest permitted time.
    Timeout,
    /// The host does not hold requests any longer (bounds, stop, pause), or the flow ended.
    Flush,
};

const char* textOf(hold_end);

} // namespace shallotcove::steering
