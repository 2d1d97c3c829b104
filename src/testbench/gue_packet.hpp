#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/wire/segment.hpp>

namespace shallotcove::testbench {

/// Builds a packet and encapsulates it in GUE.
std::vector<std::byte> encapsulate(const wire::segment&);

struct inner_addresses {
    core::ip_address source;
    core::ip_address destination;
};

/// Reads the addresses of the IP packet in a GUE datagram, whatever its transport protocol, including ICMP.
std::optional<inner_addresses> readInnerAddresses(std::span<const std::byte> datagram);

} // namespace shallotcove::testbench
