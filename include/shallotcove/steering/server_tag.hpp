#pragma once

#include <cstdint>
#include <string_view>

#include <shallotcove/core/ids.hpp>

namespace shallotcove::steering {

/// Mark of a backend server that both ends of a flow carry in every packet; 0 stands for none.
using server_tag = core::strong_number<struct server_tag_tag, std::uint32_t>;

/// The tag of a backend server, the same at every host.
server_tag tagOf(std::string_view serverId);

} // namespace shallotcove::steering
