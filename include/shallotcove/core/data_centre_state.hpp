#pragma once

#include <cstdint>

#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

enum class data_centre_state : std::uint8_t { In, Out };

} // namespace shallotcove::core
