#pragma once

#include <cstddef>

#include <json/json.h>

namespace shallotcove::daemon {

/// Bounds on the length of a string setting, both inclusive.
struct text_rule {
    std::size_t minimum { 1 };
    std::size_t maximum { 255 };
    /// Whether the value is left out of problem reports.
    bool isSecret {};
};

} // namespace shallotcove::daemon
