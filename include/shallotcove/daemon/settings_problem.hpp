#pragma once

#include <cstddef>
#include <shallotcove/daemon/packet_counters.hpp>
#include <string>

namespace shallotcove::daemon {

/// One problem of a settings file.
struct settings_problem {
    /// Path of the field, for example "store.address"; empty for a syntax error.
    std::string field;
    /// Line in the file, counted from 1; 0 if the file could not be read.
    std::size_t line {};
    /// The value found; empty if the field is missing. Secrets are left out.
    std::string value;
    std::string message;

    friend bool operator==(const settings_problem&, const settings_problem&) = default;
};

} // namespace shallotcove::daemon
