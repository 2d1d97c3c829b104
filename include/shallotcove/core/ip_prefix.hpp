#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::core {

/// Address prefix. The length refers to the v4-mapped form: an IPv4 /24 has length 120.
struct ip_prefix {
    ip_address address;
    std::uint8_t length {};

    /// Parses "192.0.2.0/24" or "2001:db8::/32". Address bits beyond the length have to be 0.
    static tl::expected<ip_prefix, address_error> parse(std::string_view text);
    /// Whether the length is at most 128 and all address bits beyond it are 0.
    bool isValid() const;
    std::string toString() const;

    friend bool operator==(const ip_prefix&, const ip_prefix&) = default;
};

} // namespace shallotcove::core
