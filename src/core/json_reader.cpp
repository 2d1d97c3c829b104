#include "json_reader.hpp"

#include <memory>
#include <sstream>

#include <shallotcove/core/config_limits.hpp>

namespace shallotcove::core {

namespace {

    const Json::Value& emptyArray()
    {
        static const Json::Value value(Json::arrayValue);
        return value;
    }

    /// Replaces each run of whitespace by one space: the messages of jsoncpp span several indented lines.
    std::string collapseWhitespace(const std::string& text)
    {
        std::istringstream words(text);
        std::string line;
        for (std::string word; words >> word;)
            line += (line.empty() ? "" : " ") + word;
        return line;
    }

    std::string excerpt(const Json::Value& value)
    {
        // Limits how much of a value a message quotes, so that the message stays readable.
        constexpr std::size_t maximumExcerptBytes = 80;
        const std::string text = formatJson(value);
        return text.size() <= maximumExcerptBytes ? text : text.substr(0, maximumExcerptBytes) + "...";
    }

    bool isUnsignedInteger(const Json::Value& value)
    {
        const bool isInteger = value.type() == Json::intValue || value.type() == Json::uintValue;
        return isInteger && value.isUInt64();
    }

} // namespace

object_reader::object_reader(const Json::Value& value, std::string path, config_problems& problems)
    : m_value(value)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!value.isObject())
        m_problems.push_back({ m_path, "is " + excerpt(value) + "; allowed: an object" });
}

bool object_reader::has(const char* field)
{
    m_knownFields.insert(field);
    return m_value.isObject() && m_value.isMember(field);
}

std::string object_reader::name(const char* field)
{
    const Json::Value& value = at(field);
    const std::string text = value.isString() ? value.asString() : "";
    if (const std::optional<std::string> allowed = checkName(text))
        addProblem(field, value, *allowed);
    return text;
}

std::string object_reader::text(const char* field, std::size_t minimumBytes, std::size_t maximumBytes)
{
    const Json::Value& value = at(field);
    const std::string text = value.isString() ? value.asString() : "";
    const std::optional<std::string> allowed = checkText(text, minimumBytes, maximumBytes);
    if (!value.isString() || allowed)
        addProblem(field, value, allowed.value_or("a text"));
    return text;
}

std::uint64_t object_reader::number(const char* field, std::uint64_t minimum, std::uint64_t maximum)
{
    const Json::Value& value = at(field);
    if (isUnsignedInteger(value) && value.asUInt64() >= minimum && value.asUInt64() <= maximum)
        return value.asUInt64();
    addProblem(field, value, std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
}

socket_address object_reader::address(const char* field)
{
    const Json::Value& value = at(field);
    if (value.isString()) {
        const tl::expected<socket_address, address_error> parsed = socket_address::parse(value.asString());
        if (parsed && parsed->port != 0)
            return *parsed;
    }
    addProblem(field, value, "an IPv4 or bracketed IPv6 address with a port of 1 to 65535");
    return {};
}

const Json::Value& object_reader::array(const char* field, std::size_t maximumCount)
{
    const Json::Value& value = at(field);
    const std::string allowed = "an array of at most " + std::to_string(maximumCount) + " elements";
    if (!value.isArray()) {
        addProblem(field, value, allowed);
        return emptyArray();
    }
    if (value.size() > maximumCount) {
        m_problems.push_back(
            { pathOf(field), "has " + std::to_string(value.size()) + " elements; allowed: " + allowed });
        return emptyArray();
    }
    return value;
}

void object_reader::addProblem(const char* field, const Json::Value& value, const std::string& allowed)
{
    if (!m_value.isObject())
        return;
    const std::string found = m_value.isMember(field) ? "is " + excerpt(value) : "is missing";
    m_problems.push_back({ pathOf(field), found + "; allowed: " + allowed });
}

std::string object_reader::pathOf(const std::string& field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

void object_reader::reportUnknownFields()
{
    if (!m_value.isObject())
        return;
    std::string knownFields;
    for (const std::string& field : m_knownFields)
        knownFields += (knownFields.empty() ? "" : ", ") + field;
    for (const std::string& field : m_value.getMemberNames()) {
        if (m_knownFields.count(field) == 0)
            m_problems.push_back({ pathOf(field), "is not a known field; allowed: " + knownFields });
    }
}

const Json::Value& object_reader::at(const char* field)
{
    m_knownFields.insert(field);
    return m_value.isObject() ? m_value[field] : Json::Value::nullSingleton();
}

tl::expected<Json::Value, config_problems> parseJson(std::string_view json)
{
    if (json.size() > maximumValueBytes) {
        return tl::unexpected(config_problems { { "",
            "has " + std::to_string(json.size()) + " bytes; allowed: at most "
                + std::to_string(maximumValueBytes) } });
    }
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    // Stored values nest at most five levels deep. The reader throws an exception beyond stackLimit.
    builder["stackLimit"] = 16;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(json.data(), json.data() + json.size(), &value, &errors))
            return value;
    } catch (const Json::Exception& exception) {
        errors = exception.what();
    }
    return tl::unexpected(config_problems { { "", "is not valid JSON: " + collapseWhitespace(errors) } });
}

std::string formatJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

} // namespace shallotcove::core
