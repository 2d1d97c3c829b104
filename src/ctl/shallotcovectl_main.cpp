#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "flags.hpp"
#include "run.hpp"

namespace ctl = shallotcove::ctl;

// The values of the flags are read through gflags::GetAllFlags, because a subcommand has to know which were
// given.
DEFINE_string(host, "127.0.0.1:7100", ctl::flagHelp("host"));
DEFINE_string(token, "", ctl::flagHelp("token"));
DEFINE_string(token_file, "", ctl::flagHelp("token_file"));
DEFINE_string(output, "table", ctl::flagHelp("output"));
DEFINE_uint32(timeout_ms, 10000, ctl::flagHelp("timeout_ms"));
DEFINE_string(operation_id, "", ctl::flagHelp("operation_id"));
DEFINE_string(author, "", ctl::flagHelp("author"));
DEFINE_uint64(expected_revision, 0, ctl::flagHelp("expected_revision"));
DEFINE_string(protocol, "tcp", ctl::flagHelp("protocol"));
DEFINE_string(data_centre, "", ctl::flagHelp("data_centre"));
DEFINE_uint32(weight, 100, ctl::flagHelp("weight"));
DEFINE_uint32(cold_new_flows, 10, ctl::flagHelp("cold_new_flows"));
DEFINE_uint32(new_flows, 0, ctl::flagHelp("new_flows"));
DEFINE_uint64(since_revision, 0, ctl::flagHelp("since_revision"));
DEFINE_uint64(since_index, 0, ctl::flagHelp("since_index"));
DEFINE_uint32(interval_ms, 1000, ctl::flagHelp("interval_ms"));
DEFINE_uint32(answers, 0, ctl::flagHelp("answers"));

int main(int argc, char** argv)
{
    gflags::SetVersionString(SHALLOTCOVE_VERSION);
    // Leaves --help to the subcommands. An unknown flag ends the program here with exit code 1.
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    std::string version;
    if (gflags::GetCommandLineOption("version", &version) && version == "true") {
        std::cout << "shallotcovectl " << SHALLOTCOVE_VERSION << "\n";
        return 0;
    }
    ctl::invocation commandLine;
    commandLine.arguments.assign(argv + 1, argv + argc);
    const char* const user = std::getenv("USER");
    commandLine.defaultAuthor = user == nullptr ? "" : user;
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo& flag : flags) {
        if (!flag.is_default && ctl::findFlag(flag.name) != nullptr)
            commandLine.flags[flag.name] = flag.current_value;
    }
    return static_cast<int>(ctl::run(commandLine, std::cout, std::cerr));
}
