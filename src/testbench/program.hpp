#pragma once

#include <utility>

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::testbench {

/// Writes one address per line. Renames a temporary file, so that a reader sees all lines or none.
bool writeReadyFile(const std::string& path, const std::vector<core::socket_address>&);

/// Runs until SIGTERM or SIGINT, or until the context is stopped.
void runUntilSignal(boost::asio::io_context&);

/// Parses an address from the command line. If it is invalid, prints an error and exits with code 1.
core::socket_address requireAddress(const char* flag, const std::string& text);

/// Prints a message to standard error and exits with code 1.
[[noreturn]] void exitWithError(const std::string& message);

} // namespace shallotcove::testbench
