#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::daemon {

enum class log_level : std::uint8_t { Debug, Info, Warning, Error };
enum class log_format : std::uint8_t { Json, Text };

struct store_settings {
    core::socket_address address;
    std::chrono::milliseconds requestTimeout { 2000 };

    friend bool operator==(const store_settings&, const store_settings&) = default;
};

struct host_list_settings {
    core::socket_address address;
    std::chrono::milliseconds pollInterval { 1000 };

    friend bool operator==(const host_list_settings&, const host_list_settings&) = default;
};

struct flow_settings {
    /// Entries of the local flow table, a power of two.
    std::size_t localFlows { 1U << 19 };
    /// Entries of the table of tracked flows, a power of two.
    std::size_t trackedFlows { 1U << 17 };
    std::chrono::seconds idleTimeout { 900 };

    friend bool operator==(const flow_settings&, const flow_settings&) = default;
};

struct log_settings {
    log_level level { log_level::Info };
    log_format format { log_format::Json };
    /// Standard output if empty.
    std::string file;

    friend bool operator==(const log_settings&, const log_settings&) = default;
};

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

/// One thing wrong with a settings file.
struct settings_problem {
    /// Path of the field, for example "store.address"; empty for a fault of the JSON itself.
    std::string field;
    /// Line in the file, from 1; 0 if the file could not be read.
    std::size_t line {};
    /// The value found; empty if the field is missing. Secrets are not repeated.
    std::string value;
    std::string message;

    friend bool operator==(const settings_problem&, const settings_problem&) = default;
};

using settings_problems = std::vector<settings_problem>;

/// Parses and validates settings. All problems are reported together, in the order of their lines.
tl::expected<settings, settings_problems> parseSettings(std::string_view json);

/// The text of a settings file; a file that cannot be read is one problem with line 0.
tl::expected<std::string, settings_problems> readSettingsText(const std::string& fileName);

/// Reads and parses a file; a file that cannot be read is one problem with line 0.
tl::expected<settings, settings_problems> readSettings(const std::string& fileName);

/// One line for a person: "file:line: field: message, found value".
std::string formatProblem(const settings_problem&, const std::string& fileName);

} // namespace shallotcove::daemon
