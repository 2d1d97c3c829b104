#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <shallotcove/steering/neighbour_message.hpp>

namespace shallotcove::wire {

/// Largest message between hosts in bytes; fits one Ethernet frame.
inline constexpr std::size_t maximumNeighbourBytes = 1400;

/// Writes a message as a MessagePack array. Loads and hosts that do not fit are left out.
std::vector<std::byte> encodeNeighbourMessage(const steering::neighbour_message&);

/// Nothing for a message that is malformed or of another version.
std::optional<steering::neighbour_message> decodeNeighbourMessage(std::span<const std::byte>);

} // namespace shallotcove::wire
