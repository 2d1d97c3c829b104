#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <shallotcove/steering/neighbour_message.hpp>

namespace shallotcove::wire {

/// Largest message between hosts in bytes; fits one Ethernet frame.
inline constexpr std::size_t maximumNeighbourMessageBytes = 1400;

/// Encodes a message as a MessagePack array. Omits hosts and loads that do not fit.
std::vector<std::byte> encodeNeighbourMessage(const steering::neighbour_message&);

/// Returns nothing if the message is malformed or has another format version.
std::optional<steering::neighbour_message> decodeNeighbourMessage(std::span<const std::byte>);

} // namespace shallotcove::wire
