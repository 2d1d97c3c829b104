#pragma once

#include <shallotcove/daemon/packet_counters.hpp>
#include <string>

namespace shallotcove::daemon {

/// Why a host cannot start: the settings field that cannot be satisfied, its value and the cause.
struct start_failure {
    std::string field;
    std::string value;
    std::string cause;
};

} // namespace shallotcove::daemon
