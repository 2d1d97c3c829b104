#pragma once

#include <shallotcove/core/ids.hpp>
#include <string>

namespace shallotcove::core {

/// A compare-and-swap requested by the planner: writes value if the modification index of the key is still
/// `expected` (0: the key is absent).
struct store_write {
    std::string key;
    config_index expected;
    std::string value;

    friend bool operator==(const store_write&, const store_write&) = default;
};

} // namespace shallotcove::core
