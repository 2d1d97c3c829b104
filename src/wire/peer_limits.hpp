#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>

#include <shallotcove/core/peer_message.hpp>

namespace shallotcove::wire {

/// The type number of a peer message is its index in core::peer_message plus 1.
inline constexpr std::size_t peerMessageTypeCount = std::variant_size_v<core::peer_message>;
/// The envelope consists of version, type, sender, incarnation and sequence.
inline constexpr std::uint32_t envelopeFields = 5;
inline constexpr std::uint32_t memberFields = 11;
inline constexpr std::uint32_t limitFields = 7;
inline constexpr std::uint32_t flowFields = 3;
inline constexpr std::uint32_t loadFields = 5;

// Limits shared by writer and reader. Together with the message size they bound the memory that a reader
// allocates.
inline constexpr std::size_t maximumMembers = 64;
inline constexpr std::size_t maximumLimits = 64;
inline constexpr std::size_t maximumBlockedServices = core::maximumBlockedServices;
inline constexpr std::size_t maximumAcknowledgements = 128;
inline constexpr std::size_t maximumFlows = core::maximumFlowsPerMessage;
inline constexpr std::size_t maximumLoads = core::maximumServersPerReport;
inline constexpr std::size_t maximumDataCentreBytes = 64;
inline constexpr std::size_t maximumKeyBytes = 512;
inline constexpr std::size_t maximumChunkBytes = 1100;
/// Values of the key-value service are at most a megabyte.
inline constexpr std::size_t maximumValueBytes = 1U << 20;

} // namespace shallotcove::wire
