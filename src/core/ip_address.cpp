#include <shallotcove/core/ip_address.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstring>

namespace shallotcove::core {

namespace {

    constexpr std::array<std::uint8_t, 12> v4MappedPrefix { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

} // namespace

tl::expected<ip_address, address_error> ip_address::parse(std::string_view text)
{
    const std::string terminated(text);
    if (terminated.size() != std::strlen(terminated.c_str()))
        return tl::unexpected(address_error::Malformed);
    in_addr v4 {};
    if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1)
        return fromV4(ntohl(v4.s_addr));
    ip_address address;
    if (inet_pton(AF_INET6, terminated.c_str(), address.bytes.data()) == 1)
        return address;
    return tl::unexpected(address_error::Malformed);
}

ip_address ip_address::fromV4(std::uint32_t hostOrder)
{
    ip_address address;
    std::copy(v4MappedPrefix.begin(), v4MappedPrefix.end(), address.bytes.begin());
    const std::uint32_t networkOrder = htonl(hostOrder);
    std::memcpy(address.bytes.data() + v4MappedPrefix.size(), &networkOrder, sizeof networkOrder);
    return address;
}

bool ip_address::isV4() const
{
    return std::equal(v4MappedPrefix.begin(), v4MappedPrefix.end(), bytes.begin());
}

std::uint32_t ip_address::toV4() const
{
    std::uint32_t networkOrder {};
    std::memcpy(&networkOrder, bytes.data() + v4MappedPrefix.size(), sizeof networkOrder);
    return ntohl(networkOrder);
}

std::string ip_address::toString() const
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    const bool v4 = isV4();
    const std::uint8_t* start = v4 ? bytes.data() + v4MappedPrefix.size() : bytes.data();
    inet_ntop(v4 ? AF_INET : AF_INET6, start, text.data(), text.size());
    return text.data();
}

tl::expected<socket_address, address_error> socket_address::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return tl::unexpected(address_error::Malformed);
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const bool isBracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    // An IPv6 address needs brackets, because its own colons would hide where the port begins.
    if ((host.find(':') != std::string_view::npos) != isBracketed)
        return tl::unexpected(address_error::Malformed);
    const tl::expected<ip_address, address_error> address = ip_address::parse(host);
    if (!address)
        return tl::unexpected(address.error());
    std::uint32_t number {};
    const char* const end = port.data() + port.size();
    const std::from_chars_result parsed = std::from_chars(port.data(), end, number);
    if (parsed.ec == std::errc::result_out_of_range)
        return tl::unexpected(address_error::PortOutOfRange);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return tl::unexpected(address_error::Malformed);
    if (number > UINT16_MAX)
        return tl::unexpected(address_error::PortOutOfRange);
    return socket_address { *address, static_cast<std::uint16_t>(number) };
}

std::string socket_address::toString() const
{
    const std::string host = address.toString();
    return (address.isV4() ? host : "[" + host + "]") + ":" + std::to_string(port);
}

} // namespace shallotcove::core
