#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace shallotcove::core {

enum class address_error : std::uint8_t { Malformed, PortOutOfRange };

/// IPv6 address, or an IPv4 address in its v4-mapped form (::ffff:a.b.c.d), in network byte order.
struct ip_address {
    std::array<std::uint8_t, 16> bytes {};

    /// Parses "192.0.2.1" or "2001:db8::1".
    static tl::expected<ip_address, address_error> parse(std::string_view text);
    static ip_address fromV4(std::uint32_t hostOrder);

    bool isV4() const;
    /// The IPv4 address in host byte order; only valid if isV4().
    std::uint32_t toV4() const;
    std::string toString() const;

    friend auto operator<=>(const ip_address&, const ip_address&) = default;
};

/// Address and port of a UDP or TCP endpoint.
struct socket_address {
    ip_address address;
    std::uint16_t port {};

    /// Parses "192.0.2.1:443" or "[2001:db8::1]:443"; port 0 is allowed and means chosen by the system.
    static tl::expected<socket_address, address_error> parse(std::string_view text);
    std::string toString() const;

    friend auto operator<=>(const socket_address&, const socket_address&) = default;
};

} // namespace shallotcove::core
