#pragma once

#include <array>
#include <string_view>

namespace shallotcove::ctl {

struct flag_description {
    const char* name;
    /// Placeholder for the value in help texts.
    const char* placeholder;
    const char* help;
};

inline constexpr std::array<flag_description, 18> flagDescriptions { {
    { "host", "ADDRESS", "operator address of a host, default 127.0.0.1:7100" },
    { "token", "TEXT", "operator token; other users of this machine can see it, prefer --token_file" },
    { "token_file", "FILE", "file whose first line is the operator token" },
    { "output", "json|table", "format of the answer, default table" },
    { "timeout_ms", "NUMBER", "time to wait for the answer, default 10000" },
    { "operation_id", "TEXT", "id of the change; the same id again gives the outcome of the first attempt" },
    { "author", "TEXT", "name recorded with the change, default the user's name" },
    { "expected_revision", "NUMBER", "refuse the change if the current revision is another" },
    { "protocol", "tcp|udp", "protocol of the service, default tcp" },
    { "data_centre", "NAME", "name of the data centre" },
    { "weight", "NUMBER", "share of load, 1 to 10000, default 100" },
    { "cold_new_flows", "NUMBER", "new flows a second right after a cold start, default 10" },
    { "new_flows", "NUMBER", "new flows a second when warm, default 0 (unlimited)" },
    { "since_revision", "NUMBER", "only operations after this revision, default 0" },
    { "since_index", "NUMBER", "only changes after this index, default 0" },
    { "interval_ms", "NUMBER", "pause between two questions, default 1000" },
    { "answers", "NUMBER", "end after this number of answers, default 0 (never)" },
    { "help", "", "show this help" },
} };

constexpr const flag_description* findFlag(std::string_view name)
{
    for (const flag_description& flag : flagDescriptions) {
        if (name == flag.name)
            return &flag;
    }
    return nullptr;
}

/// Help text of a flag whose name is known at compile time.
consteval const char* flagHelp(std::string_view name) { return findFlag(name)->help; }

} // namespace shallotcove::ctl
