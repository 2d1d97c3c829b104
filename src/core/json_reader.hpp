#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include <json/json.h>

#include <shallotcove/core/config_json.hpp>

namespace shallotcove::core {

/// The enumerators of a type and the texts that represent them in JSON.
template <typename Enum, std::size_t Size>
using enum_texts = std::array<std::pair<std::string_view, Enum>, Size>;

/// Reads the fields of a JSON object and collects all problems. A field with a problem is read as a default
/// value.
class object_reader {
public:
    object_reader(const Json::Value& value, std::string path, config_problems& problems);

    /// Whether an optional field is present.
    bool has(const char* field);
    std::string name(const char* field);
    std::string text(const char* field, std::size_t minimumBytes, std::size_t maximumBytes);
    std::uint64_t number(const char* field, std::uint64_t minimum, std::uint64_t maximum);
    /// An address with a port other than 0.
    socket_address address(const char* field);
    /// The elements of an array field; an empty array if there is a problem.
    const Json::Value& array(const char* field, std::size_t maximumCount);

    template <typename Enum, std::size_t Size>
    Enum oneOf(const char* field, const enum_texts<Enum, Size>& texts)
    {
        const Json::Value& value = at(field);
        std::string allowed;
        for (const std::pair<std::string_view, Enum>& entry : texts) {
            if (value.isString() && value.asString() == entry.first)
                return entry.second;
            allowed += (allowed.empty() ? "\"" : ", \"") + std::string(entry.first) + "\"";
        }
        addProblem(field, value, allowed);
        return texts.front().second;
    }

    /// Adds a problem with a field. The message states the value found, or that the field is missing, and
    /// what is allowed.
    void addProblem(const char* field, const Json::Value& value, const std::string& allowed);
    /// Path of a field from the root of the value, for example "servers[2].address".
    std::string pathOf(const std::string& field) const;
    /// Adds a problem for every field of the object that no call of this reader has asked for.
    void reportUnknownFields();

private:
    /// Value of a field, null if it is missing. Marks the field as known.
    const Json::Value& at(const char* field);

    const Json::Value& m_value;
    std::string m_path;
    config_problems& m_problems;
    std::set<std::string> m_knownFields;
};

/// Parses JSON text of at most maximumValueBytes. Comments, repeated keys and trailing text are rejected.
tl::expected<Json::Value, config_problems> parseJson(std::string_view json);
/// Compact JSON with keys in alphabetical order.
std::string formatJson(const Json::Value& value);

template <typename Enum, std::size_t Size>
std::string textOf(Enum enumerator, const enum_texts<Enum, Size>& texts)
{
    for (const std::pair<std::string_view, Enum>& entry : texts) {
        if (entry.second == enumerator)
            return std::string(entry.first);
    }
    return {};
}

} // namespace shallotcove::core
