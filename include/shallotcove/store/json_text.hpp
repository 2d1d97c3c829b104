#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <json/value.h>

namespace shallotcove::store {

/// Parses a text that consists of exactly one JSON value.
std::optional<Json::Value> parseJson(std::string_view text);
/// Writes JSON on one line.
std::string formatJson(const Json::Value&);

std::string encodeBase64(std::string_view bytes);
std::optional<std::string> decodeBase64(std::string_view text);

/// Reads a 64-bit integer as the JSON gateway writes it: as a string of digits, with the field left out for
/// 0. JSON numbers are accepted too. Returns no value if the field is malformed.
std::optional<std::int64_t> readNumber(const Json::Value& object, const char* field);

} // namespace shallotcove::store
