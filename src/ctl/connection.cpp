#include "connection.hpp"

#include <charconv>
#include <cstdint>
#include <fstream>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::ctl {

namespace {

    std::string flagOrDefault(
        const invocation& commandLine, const std::string& flag, const std::string& defaultValue)
    {
        const auto found = commandLine.flags.find(flag);
        return found == commandLine.flags.end() ? defaultValue : found->second;
    }

    tl::expected<std::string, std::string> readToken(const invocation& commandLine)
    {
        const bool hasToken = commandLine.flags.count("token") > 0;
        const bool hasFile = commandLine.flags.count("token_file") > 0;
        if (hasToken == hasFile)
            return tl::unexpected<std::string>("give exactly one of --token_file and --token");
        std::string token = flagOrDefault(commandLine, "token", "");
        if (hasFile) {
            std::ifstream file(flagOrDefault(commandLine, "token_file", ""));
            if (!file || !std::getline(file, token))
                return tl::unexpected(
                    "can't read a token from file " + flagOrDefault(commandLine, "token_file", ""));
        }
        // Other characters would end the HTTP header field.
        for (const char character : token) {
            if (character <= ' ' || character > '~')
                return tl::unexpected<std::string>(
                    "the token has characters other than visible ASCII characters");
        }
        return token;
    }

} // namespace

tl::expected<rpc::operator_client_options, std::string> readConnection(const invocation& commandLine)
{
    const std::string host = flagOrDefault(commandLine, "host", "127.0.0.1:7100");
    const tl::expected<core::socket_address, core::address_error> address = core::socket_address::parse(host);
    if (!address || address->port == 0)
        return tl::unexpected("--host is \"" + host
            + "\"; allowed: an IPv4 or bracketed IPv6 address with a port of 1 to 65535");
    const tl::expected<std::string, std::string> token = readToken(commandLine);
    if (!token)
        return tl::unexpected(token.error());
    const std::string timeout = flagOrDefault(commandLine, "timeout_ms", "10000");
    std::uint32_t milliseconds {};
    const char* const end = timeout.data() + timeout.size();
    const std::from_chars_result parsed = std::from_chars(timeout.data(), end, milliseconds);
    // An hour is far beyond any useful wait and keeps the deadline within the range of the clock.
    constexpr std::uint32_t maximumMilliseconds = 3'600'000;
    if (parsed.ec != std::errc {} || parsed.ptr != end || milliseconds < 1
        || milliseconds > maximumMilliseconds)
        return tl::unexpected("--timeout_ms is \"" + timeout + "\"; allowed: 1 to 3600000");
    rpc::operator_client_options options;
    options.host = address->address.toString();
    options.port = address->port;
    options.token = *token;
    options.responseTimeout = std::chrono::milliseconds(milliseconds);
    return options;
}

} // namespace shallotcove::ctl
