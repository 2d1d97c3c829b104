#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotcove::core {

// Limits on counts and lengths. Together they keep every value below the megabyte that the store accepts;
// config_json_test checks this with a value that reaches every limit.
inline constexpr std::size_t maximumValueBytes = 1'000'000;
inline constexpr std::size_t maximumServers = 1'000;
inline constexpr std::size_t maximumCallerClasses = 256;
inline constexpr std::size_t maximumNameBytes = 63;
inline constexpr std::size_t maximumOperationIdBytes = 128;
inline constexpr std::size_t maximumAuthorBytes = 128;
inline constexpr std::size_t maximumSummaryBytes = 512;
inline constexpr std::uint32_t maximumWeight = 10'000;
inline constexpr std::uint32_t maximumNewFlowsPerSecond = 10'000'000;

/// Checks the name of a service, a data centre or a caller class: 1 to 63 characters of a-z, 0-9 and '-',
/// with no '-' at either end. Returns a description of the allowed names if the name is invalid.
std::optional<std::string> checkName(std::string_view name);

/// Checks free text, such as an author: UTF-8 without control characters. Returns a description of the
/// allowed texts if the text is invalid.
std::optional<std::string> checkText(
    std::string_view text, std::size_t minimumBytes, std::size_t maximumBytes);

} // namespace shallotcove::core
