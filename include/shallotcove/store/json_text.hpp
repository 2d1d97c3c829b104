#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <json/value.h>

namespace shallotcove::store {

/// Parses one JSON value that takes up the whole text.
std::optional<Json::Value> parseJson(std::string_view text);
/// Writes JSON on one line.
std::string formatJson(const Json::Value&);

std::string encodeBase64(std::string_view bytes);
std::optional<std::string> decodeBase64(std::string_view text);

/// A 64-bit number as the JSON gateway writes it: a string of digits, or nothing for 0. No value if it is
/// malformed.
std::optional<std::int64_t> readNumber(const Json::Value& object, const char* field);

} // namespace shallotcove::store
