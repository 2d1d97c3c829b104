#pragma once

#include <map>
#include <string>
#include <vector>

namespace shallotcove::ctl {

/// Command line of the operator, independent of how flags are parsed.
struct invocation {
    /// Subcommand and its arguments, without flags.
    std::vector<std::string> arguments;
    /// Flags that were given, by name.
    std::map<std::string, std::string> flags;
    /// Author of changes if --author is not given.
    std::string defaultAuthor;
};

} // namespace shallotcove::ctl
