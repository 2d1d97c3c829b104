#include "field_reader.hpp"

#include <algorithm>
#include <bit>

namespace shallotcove::daemon {

namespace {

    // Longer values are truncated in problem reports, so that one invalid field does not hide the others.
    constexpr std::size_t maximumReportedValue = 80;

    std::string reportedText(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["commentStyle"] = "None";
        std::string text = Json::writeString(builder, value);
        if (text.size() > maximumReportedValue)
            text = text.substr(0, maximumReportedValue) + "...";
        return text;
    }

    bool isNameCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
            || character == '-';
    }

    bool isHexadecimal(char character)
    {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f')
            || (character >= 'A' && character <= 'F');
    }

    std::string lengthMessage(const text_rule& rule)
    {
        return "must be a string of " + std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum)
            + " characters";
    }

} // namespace

field_reader::field_reader(
    const Json::Value& object, std::string path, std::string_view text, settings_problems& problems)
    : m_object(object)
    , m_path(std::move(path))
    , m_text(text)
    , m_problems(problems)
{
}

void field_reader::readText(
    const char* name, const text_rule& rule, field_requirement requirement, std::string& out)
{
    const Json::Value* const value = findField(name, requirement);
    if (value == nullptr)
        return;
    if (!value->isString() || value->asString().size() < rule.minimum
        || value->asString().size() > rule.maximum)
        return addProblem(name, *value, lengthMessage(rule), rule.isSecret);
    out = value->asString();
}

void field_reader::readName(const char* name, std::string& out)
{
    const Json::Value* const value = findField(name, field_requirement::Required);
    if (value == nullptr)
        return;
    const std::string text = value->isString() ? value->asString() : std::string();
    if (text.empty() || text.size() > 63 || !std::all_of(text.begin(), text.end(), isNameCharacter))
        return addProblem(name, *value, "must be 1 to 63 lower-case letters, digits and hyphens");
    out = text;
}

void field_reader::readHexadecimal(const char* name, std::size_t digits, std::string& out)
{
    const Json::Value* const value = findField(name, field_requirement::Required);
    if (value == nullptr)
        return;
    const std::string text = value->isString() ? value->asString() : std::string();
    if (text.size() != digits || !std::all_of(text.begin(), text.end(), isHexadecimal))
        return addProblem(name, *value, "must be " + std::to_string(digits) + " hexadecimal digits", true);
    out = text;
}

void field_reader::readDecimal(const char* name, double minimum, double maximum, double& out)
{
    const Json::Value* const value = findField(name, field_requirement::Optional);
    if (value == nullptr)
        return;
    // The negated comparison also rejects NaN, which fails every comparison.
    if (!value->isNumeric() || !(value->asDouble() >= minimum && value->asDouble() <= maximum))
        return addProblem(name, *value,
            "must be a number from " + Json::Value(minimum).asString() + " to "
                + Json::Value(maximum).asString());
    out = value->asDouble();
}

void field_reader::readNumber(const char* name, const number_range& range, std::uint64_t& out)
{
    const Json::Value* const value = findField(name, field_requirement::Optional);
    if (value == nullptr)
        return;
    const std::string allowed = std::string("must be a whole number from ") + std::to_string(range.minimum)
        + " to " + std::to_string(range.maximum) + (range.isPowerOfTwo ? ", a power of two" : "");
    // isUInt64() also accepts 5.0, which jsoncpp stores as a real number.
    const bool isWhole = value->isUInt64() && value->type() != Json::realValue;
    if (!isWhole || value->asUInt64() < range.minimum || value->asUInt64() > range.maximum)
        return addProblem(name, *value, allowed);
    if (range.isPowerOfTwo && !std::has_single_bit(value->asUInt64()))
        return addProblem(name, *value, allowed);
    out = value->asUInt64();
}

void field_reader::readAddress(const char* name, bool isListening, core::socket_address& out)
{
    const Json::Value* const value = findField(name, field_requirement::Required);
    if (value != nullptr)
        parseAddress(name, *value, isListening, out);
}

void field_reader::readAddresses(const char* name, std::vector<core::socket_address>& out)
{
    const Json::Value* const value = findField(name, field_requirement::Optional);
    if (value == nullptr)
        return;
    if (!value->isArray() || value->size() > 64)
        return addProblem(name, *value, "must be a list of up to 64 addresses like \"192.0.2.1:7946\"");
    for (Json::ArrayIndex i = 0; i < value->size(); ++i) {
        core::socket_address address;
        parseAddress(std::string(name) + "[" + std::to_string(i) + "]", (*value)[i], false, address);
        out.push_back(address);
    }
}

void field_reader::readChoice(const char* name, const std::vector<std::string>& choices, std::size_t& out)
{
    const Json::Value* const value = findField(name, field_requirement::Optional);
    if (value == nullptr)
        return;
    const std::string text = value->isString() ? value->asString() : std::string();
    const auto found = std::find(choices.begin(), choices.end(), text);
    if (found != choices.end()) {
        out = static_cast<std::size_t>(found - choices.begin());
        return;
    }
    std::string allowed;
    for (const std::string& choice : choices)
        allowed += (allowed.empty() ? "\"" : ", \"") + choice + "\"";
    addProblem(name, *value, "must be one of " + allowed);
}

const Json::Value* field_reader::readObject(const char* name, field_requirement requirement)
{
    const Json::Value* const value = findField(name, requirement);
    if (value == nullptr || value->isObject())
        return value;
    addProblem(name, *value, "must be an object");
    return nullptr;
}

void field_reader::reportUnknownFields()
{
    for (const std::string& name : m_object.getMemberNames()) {
        if (m_knownFields.contains(name))
            continue;
        std::string knownFields;
        for (const std::string& field : m_knownFields)
            knownFields += (knownFields.empty() ? "" : ", ") + field;
        // An unknown field may be a misspelt secret, so its value is left out of the report.
        addProblem(name, m_object[name], "unknown field; known here: " + knownFields, true);
    }
}

void field_reader::reportProblem(const char* name, std::string message)
{
    addProblem(name, m_object[name], std::move(message));
}

const Json::Value* field_reader::findField(const char* name, field_requirement requirement)
{
    m_knownFields.insert(name);
    if (m_object.isMember(name))
        return &m_object[name];
    if (requirement == field_requirement::Required)
        m_problems.push_back({ pathOf(name), lineOf(m_object), "", "is required" });
    return nullptr;
}

std::string field_reader::pathOf(const std::string& name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

std::size_t field_reader::lineOf(const Json::Value& value) const
{
    const std::size_t offset = std::min<std::size_t>(m_text.size(), value.getOffsetStart());
    const std::string_view before = m_text.substr(0, offset);
    return 1 + static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
}

void field_reader::addProblem(
    const std::string& name, const Json::Value& value, std::string message, bool isSecret)
{
    m_problems.push_back(
        { pathOf(name), lineOf(value), isSecret ? std::string() : reportedText(value), std::move(message) });
}

void field_reader::parseAddress(
    const std::string& name, const Json::Value& value, bool isListening, core::socket_address& out)
{
    const std::string allowed = std::string("must be an address like \"192.0.2.1:7946\" or "
                                            "\"[2001:db8::1]:7946\" with a port from ")
        + (isListening ? "0 (chosen by the system)" : "1") + " to 65535";
    if (!value.isString())
        return addProblem(name, value, allowed);
    const tl::expected<core::socket_address, core::address_error> address
        = core::socket_address::parse(value.asString());
    if (!address || (!isListening && address->port == 0))
        return addProblem(name, value, allowed);
    // Peers identify a host by its addresses, so hosts with the wildcard address could not be told apart.
    if (address->address == core::ip_address {} || address->address == core::ip_address::fromV4(0))
        return addProblem(name, value, "must be a specific address, not the wildcard address");
    out = *address;
}

} // namespace shallotcove::daemon
