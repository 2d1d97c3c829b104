#pragma once

#include <string_view>

#include <json/json.h>
#include <tl/expected.hpp>

#include <shallotcove/daemon/settings.hpp>

#include "field_reader.hpp"

namespace shallotcove::daemon {

/// Parses the text of a settings file: one JSON object, in which comments are allowed.
tl::expected<Json::Value, settings_problems> parseSettingsObject(std::string_view text);

settings_problems sortedByLine(settings_problems);

/// Reads a nested object if it is present.
template <typename Part>
void readNested(field_reader& fields, const char* name, field_requirement requirement,
    void (*read)(field_reader, Part&), Part& out, std::string_view text, settings_problems& problems)
{
    const Json::Value* const object = fields.readObject(name, requirement);
    if (object != nullptr)
        read({ *object, name, text, problems }, out);
}

} // namespace shallotcove::daemon
