#pragma once

#include <cstdint>

namespace shallotcove::daemon {

enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

} // namespace shallotcove::daemon
