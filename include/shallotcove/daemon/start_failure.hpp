#pragma once

#include <shallotcove/daemon/packet_counters.hpp>
#include <string>

namespace shallotcove::daemon {

/// Why a host cannot start, by the field of the settings that cannot be met.
struct start_failure {
    std::string field;
    std::string value;
    std::string cause;
};

} // namespace shallotcove::daemon
