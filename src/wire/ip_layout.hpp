#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::wire {

inline constexpr std::size_t ipv4HeaderBytes = 20;
inline constexpr std::size_t ipv6HeaderBytes = 40;
inline constexpr std::size_t tcpHeaderBytes = 20;
inline constexpr std::size_t udpHeaderBytes = 8;
inline constexpr std::uint8_t ipv6FragmentHeader = 44;
inline constexpr std::uint8_t icmpProtocol = 1;
inline constexpr std::uint8_t icmpv6Protocol = 58;

/// Writes an IPv4 or IPv6 header without options for a payload of payloadBytes. Returns the length of the
/// header, which must fit into out.
std::size_t writeIpHeader(const core::ip_address& source, const core::ip_address& destination,
    std::uint8_t protocol, std::size_t payloadBytes, std::span<std::byte> out);

/// Unfolded sum of the pseudo-header that TCP, UDP and ICMPv6 checksums cover.
std::uint32_t sumPseudoHeader(const core::ip_address& source, const core::ip_address& destination,
    std::uint8_t protocol, std::size_t payloadBytes);

} // namespace shallotcove::wire
