#pragma once

#include <shallotcove/core/ids.hpp>
#include <string>

namespace shallotcove::core {

/// A compare-and-swap that the planner wants: write value if the key is still at expected (0: absent).
struct store_write {
    std::string key;
    config_index expected;
    std::string value;

    friend bool operator==(const store_write&, const store_write&) = default;
};

} // namespace shallotcove::core
