#pragma once

#include <cstdint>

#include <json/json.h>

namespace shallotcove::daemon {

struct number_range {
    std::uint64_t least {};
    std::uint64_t most {};
    bool isPowerOfTwo {};
};

} // namespace shallotcove::daemon
