#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config_commands.hpp"
#include "number_range.hpp"
#include "text_rule.hpp"
#include <json/json.h>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/metrics.hpp>
#include <shallotcove/daemon/settings.hpp>

namespace shallotcove::daemon {

enum class field_requirement : std::uint8_t { Required, Optional };

/// Reads the fields of one JSON object and collects the problems of all of them.
class field_reader {
public:
    field_reader(const Json::Value& object, std::string path, std::string_view text, settings_problems&);

    void readText(const char* name, const text_rule&, field_requirement, std::string& out);
    /// Reads a string of lower-case letters, digits and hyphens.
    void readName(const char* name, std::string& out);
    void readHexadecimal(const char* name, std::size_t digits, std::string& out);
    void readNumber(const char* name, const number_range&, std::uint64_t& out);
    void readDecimal(const char* name, double minimum, double maximum, double& out);
    /// An address to listen on may have port 0; one to connect to may not.
    void readAddress(const char* name, bool isListening, core::socket_address& out);
    void readAddresses(const char* name, std::vector<core::socket_address>& out);
    /// Writes the index of the value among the choices to out.
    void readChoice(const char* name, const std::vector<std::string>& choices, std::size_t& out);
    /// Returns the nested object; null if it is missing or of another type.
    const Json::Value* readObject(const char* name, field_requirement);
    /// Reports every field that none of the earlier calls read.
    void reportUnknownFields();
    /// Adds a problem with a field, for checks that the functions above do not make.
    void reportProblem(const char* name, std::string message);

private:
    const Json::Value* findField(const char* name, field_requirement);
    std::string pathOf(const std::string& name) const;
    std::size_t lineOf(const Json::Value&) const;
    void addProblem(const std::string& name, const Json::Value&, std::string message, bool isSecret = false);
    void parseAddress(
        const std::string& name, const Json::Value&, bool isListening, core::socket_address& out);

    const Json::Value& m_object;
    std::string m_path;
    std::string_view m_text;
    settings_problems& m_problems;
    std::set<std::string> m_knownFields;
};

} // namespace shallotcove::daemon
