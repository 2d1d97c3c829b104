#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <shallotcove/steering/neighbour_message.hpp>

namespace shallotcove::wire {

/// Largest message between hosts in bytes; fits one Ethernet frame.
inline constexpr std::size_t maximumNeighbourMessageBytes = 1400;

/// Encodes a message as a MessagePack array. Omits hosts and loads that do not fit. In version 3, counts are
/// limited to 65,535, so that maximumLoadsPerMessage loads always fit.
///
/// A message of version 2 announces that its sender also reads version 3: its version number is encoded in
/// two bytes instead of one. MessagePack decoders read both as the same number, so former hosts ignore the
/// difference.
std::vector<std::byte> encodeNeighbourMessage(
    const steering::neighbour_message&, steering::message_format = steering::message_format::Version2);

/// Returns nothing if the message is malformed or has a format version other than 2 and 3.
std::optional<steering::neighbour_message> decodeNeighbourMessage(std::span<const std::byte>);

} // namespace shallotcove::wire
