#pragma once

#include <cstdint>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// IP protocol numbers that services use.
enum class transport : std::uint8_t { Tcp = 6, Udp = 17 };

} // namespace shallotcove::core
