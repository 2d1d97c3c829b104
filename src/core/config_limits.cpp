#include <shallotcove/core/config_limits.hpp>

#include <algorithm>

namespace shallotcove::core {

namespace {

    bool isNameCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
            || character == '-';
    }

    /// Length in bytes of the UTF-8 sequence at the start of the text; 0 if the sequence is malformed,
    /// overlong or a control character.
    std::size_t utf8SequenceLength(std::string_view text)
    {
        const std::uint8_t lead = static_cast<std::uint8_t>(text.front());
        if (lead < 0x80)
            return lead >= 0x20 && lead != 0x7f ? 1 : 0;
        const std::size_t length = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : 2;
        if (lead < 0xc2 || lead > 0xf4 || text.size() < length)
            return 0;
        std::uint32_t codePoint = lead & (0x7fU >> length);
        for (const char next : text.substr(1, length - 1)) {
            if ((static_cast<std::uint8_t>(next) & 0xc0) != 0x80)
                return 0;
            codePoint = codePoint << 6 | (static_cast<std::uint8_t>(next) & 0x3f);
        }
        const std::uint32_t minimumCodePoint = length == 4 ? 0x10000 : length == 3 ? 0x800 : 0xa0;
        const bool isSurrogate = codePoint >= 0xd800 && codePoint <= 0xdfff;
        return codePoint >= minimumCodePoint && codePoint <= 0x10ffff && !isSurrogate ? length : 0;
    }

} // namespace

std::optional<std::string> checkName(std::string_view name)
{
    const bool isValid = !name.empty() && name.size() <= maximumNameBytes && name.front() != '-'
        && name.back() != '-' && std::all_of(name.begin(), name.end(), isNameCharacter);
    if (isValid)
        return std::nullopt;
    return "1 to " + std::to_string(maximumNameBytes)
        + " characters of a-z, 0-9 and '-', not beginning or ending with '-'";
}

std::optional<std::string> checkText(
    std::string_view text, std::size_t minimumBytes, std::size_t maximumBytes)
{
    bool isValid = text.size() >= minimumBytes && text.size() <= maximumBytes;
    for (std::string_view rest = text; isValid && !rest.empty();) {
        const std::size_t length = utf8SequenceLength(rest);
        isValid = length > 0;
        rest.remove_prefix(length);
    }
    if (isValid)
        return std::nullopt;
    return std::to_string(minimumBytes) + " to " + std::to_string(maximumBytes)
        + " bytes of UTF-8 without control characters";
}

} // namespace shallotcove::core
