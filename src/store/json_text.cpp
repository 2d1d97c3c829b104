#include <shallotcove/store/json_text.hpp>

#include <charconv>
#include <memory>

#include <json/reader.h>
#include <json/writer.h>
#include <sodium.h>

namespace shallotcove::store {

std::optional<Json::Value> parseJson(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    // Responses are at most 6 levels deep; the limit keeps hostile input from exhausting the stack.
    builder["stackLimit"] = 32;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
            return std::nullopt;
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
    return value;
}

std::string formatJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
        bytes.size(), sodium_base64_VARIANT_ORIGINAL);
    // The encoded length includes a terminating zero byte.
    text.pop_back();
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
            text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL)
        != 0)
        return std::nullopt;
    bytes.resize(length);
    return bytes;
}

std::optional<std::int64_t> readNumber(const Json::Value& object, const char* field)
{
    if (!object.isObject())
        return std::nullopt;
    const Json::Value& value = object[field];
    if (value.isNull())
        return 0;
    if (value.isInt64())
        return value.asInt64();
    if (!value.isString())
        return std::nullopt;
    const std::string text = value.asString();
    std::int64_t number = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || result.ec != std::errc {} || result.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace shallotcove::store
