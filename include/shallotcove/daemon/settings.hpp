#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/flow_settings.hpp>
#include <shallotcove/daemon/host_list_settings.hpp>
#include <shallotcove/daemon/log_format.hpp>
#include <shallotcove/daemon/log_level.hpp>
#include <shallotcove/daemon/log_settings.hpp>
#include <shallotcove/daemon/settings_problem.hpp>
#include <shallotcove/daemon/store_settings.hpp>
#include <tl/expected.hpp>

namespace shallotcove::daemon {

/// Settings of one host (docs/settings.md).
struct settings {
    std::string name;
    std::string dataCentre;
    core::socket_address packetAddress;
    core::socket_address peerAddress;
    core::socket_address operatorAddress;
    core::socket_address metricsAddress;
    std::vector<core::socket_address> seeds;
    /// 64 hexadecimal digits.
    std::string peerKey;
    std::string operatorToken;
    store_settings store;
    host_list_settings hostList;
    flow_settings flows;
    log_settings log;
    std::chrono::seconds shutdownTimeout { 30 };

    friend bool operator==(const settings&, const settings&) = default;
};

using settings_problems = std::vector<settings_problem>;

/// Parses and validates settings. All problems are reported together, in the order of their lines.
tl::expected<settings, settings_problems> parseSettings(std::string_view json);

/// Reads the text of a settings file; a file that cannot be read is one problem with line 0.
tl::expected<std::string, settings_problems> readSettingsText(const std::string& fileName);

/// Reads and parses a file; a file that cannot be read is one problem with line 0.
tl::expected<settings, settings_problems> readSettings(const std::string& fileName);

/// Formats a problem as one line for an operator: "file:line: field message, found value".
std::string formatProblem(const settings_problem&, const std::string& fileName);

} // namespace shallotcove::daemon
