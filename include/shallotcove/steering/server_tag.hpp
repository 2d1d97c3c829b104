#pragma once

#include <cstdint>
#include <string_view>

#include <shallotcove/core/ids.hpp>

namespace shallotcove::steering {

/// Identifies the backend server of a flow in its packets; 0 stands for none. Both ends repeat it in every
/// packet.
using server_tag = core::strong_number<struct server_tag_tag, std::uint32_t>;

/// Derives the tag from the server id, so that all hosts agree on it.
server_tag tagOf(std::string_view serverId);

} // namespace shallotcove::steering
