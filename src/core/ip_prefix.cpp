#include <shallotcove/core/ip_prefix.hpp>

#include <charconv>

namespace shallotcove::core {

namespace {

    /// Bits that the v4-mapped form puts before an IPv4 address.
    constexpr std::uint32_t v4MappedBits = 96;

} // namespace

tl::expected<ip_prefix, address_error> ip_prefix::parse(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return tl::unexpected(address_error::Malformed);
    const tl::expected<ip_address, address_error> address = ip_address::parse(text.substr(0, slash));
    if (!address)
        return tl::unexpected(address.error());
    std::uint32_t length {};
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data() + slash + 1, end, length);
    if (parsed.ec != std::errc {} || parsed.ptr != end || length > 128)
        return tl::unexpected(address_error::Malformed);
    length += text.find(':') == std::string_view::npos ? v4MappedBits : 0;
    const ip_prefix prefix { *address, static_cast<std::uint8_t>(length) };
    if (length > 128 || !prefix.isValid())
        return tl::unexpected(address_error::Malformed);
    return prefix;
}

bool ip_prefix::isValid() const
{
    if (length > 128)
        return false;
    for (std::size_t bit = length; bit < 128; ++bit) {
        if ((address.bytes[bit / 8] >> (7 - bit % 8) & 1) != 0)
            return false;
    }
    return true;
}

std::string ip_prefix::toString() const
{
    // A valid prefix shorter than the mapped bits never has a v4-mapped address, because its last bits are 0.
    const std::uint32_t shown = address.isV4() && length >= v4MappedBits ? length - v4MappedBits : length;
    return address.toString() + "/" + std::to_string(shown);
}

} // namespace shallotcove::core
