#include <shallotcove/core/ip_address.hpp>

#include <array>

#include <criterion/criterion.h>

namespace core = shallotcove::core;

// An address that is written to the store must be the same when it is read back.
Test(ip_address, round_trip)
{
    for (const char* const text : { "192.0.2.1:443", "[2001:db8::1]:65535", "0.0.0.0:0" }) {
        const tl::expected<core::socket_address, core::address_error> address
            = core::socket_address::parse(text);
        cr_assert(address.has_value(), "%s", text);
        const std::string printed = address->toString();
        cr_assert(printed == text, "printed %s, expected %s", printed.c_str(), text);
    }
}

// Malformed settings and operator input must be refused, not read as a different address.
Test(ip_address, refuses_malformed_text)
{
    struct bad_input {
        const char* text;
        core::address_error error;
    };
    const std::array<bad_input, 9> inputs { {
        { "", core::address_error::Malformed },
        { "192.0.2.1", core::address_error::Malformed },
        { "192.0.2.256:1", core::address_error::Malformed },
        { "2001:db8::1:443", core::address_error::Malformed },
        { "[192.0.2.1]:443", core::address_error::Malformed },
        { "192.0.2.1:", core::address_error::Malformed },
        { "192.0.2.1:12x", core::address_error::Malformed },
        { "192.0.2.1:65536", core::address_error::PortOutOfRange },
        { "192.0.2.1:99999999999", core::address_error::PortOutOfRange },
    } };
    for (const bad_input& input : inputs) {
        const tl::expected<core::socket_address, core::address_error> address
            = core::socket_address::parse(input.text);
        cr_assert(!address && address.error() == input.error, "'%s'", input.text);
    }
}
