#pragma once

#include <cstdint>

#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

enum class server_state : std::uint8_t { Active, Draining, Removed };

} // namespace shallotcove::core
