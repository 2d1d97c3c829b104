#pragma once

#include <cstdint>

namespace shallotcove::daemon {

enum class log_format : std::uint8_t { Json, Text };

} // namespace shallotcove::daemon
