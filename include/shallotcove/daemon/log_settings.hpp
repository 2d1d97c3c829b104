#pragma once

#include <string>

#include <shallotcove/daemon/log_format.hpp>
#include <shallotcove/daemon/log_level.hpp>

namespace shallotcove::daemon {

struct log_settings {
    log_level level { log_level::Info };
    log_format format { log_format::Json };
    /// Path of the log file; empty for standard output.
    std::string file;

    friend bool operator==(const log_settings&, const log_settings&) = default;
};

} // namespace shallotcove::daemon
