#pragma once

#include <cstdint>
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

enum class item_kind : std::uint8_t { Config, DataCentreOut, Server };

} // namespace shallotcove::steering
