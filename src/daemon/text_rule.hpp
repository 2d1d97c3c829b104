#pragma once

#include <cstddef>

#include <json/json.h>

namespace shallotcove::daemon {

struct text_rule {
    std::size_t least { 1 };
    std::size_t most { 255 };
    /// Whether the value is left out of problem reports.
    bool isSecret {};
};

} // namespace shallotcove::daemon
