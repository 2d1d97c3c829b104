#pragma once

#include <string>

#include <json/json.h>

namespace shallotcove::ctl {

/// Formats the result of a call as human-readable text: a line for each simple field and a table for each
/// array of objects.
std::string formatTable(const Json::Value& result);

} // namespace shallotcove::ctl
