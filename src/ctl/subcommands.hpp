#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <json/json.h>
#include <tl/expected.hpp>

#include "invocation.hpp"

namespace shallotcove::ctl {

/// Builds the request of a call from the arguments after the subcommand. The error is a message for the
/// operator.
using build_request = tl::expected<Json::Value, std::string> (*)(
    const std::vector<std::string>& arguments, const std::map<std::string, std::string>& flags);

struct subcommand {
    /// For example "server drain".
    std::string name;
    /// Name of the call in the schema.
    std::string call;
    bool isCommand;
    /// Names of the arguments in help texts; optional ones in brackets.
    std::string arguments;
    std::size_t minimumArguments;
    std::size_t maximumArguments;
    /// Flags beyond those that every subcommand takes.
    std::vector<std::string> flags;
    std::string summary;
    build_request build;
};

const std::vector<subcommand>& subcommands();
/// Finds the subcommand whose name the arguments begin with, or returns null.
const subcommand* findSubcommand(const std::vector<std::string>& arguments);
/// Names of all flags that a subcommand takes.
std::vector<std::string> flagsOf(const subcommand&);

std::string helpText();
std::string helpText(const subcommand&);

} // namespace shallotcove::ctl
