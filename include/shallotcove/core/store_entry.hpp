#pragma once

#include <shallotcove/core/ids.hpp>
#include <string>

namespace shallotcove::core {

/// One key of the store as delivered by a watch or a read.
struct store_entry {
    std::string key;
    config_index modified;
    bool isDeleted {};
    std::string value;

    friend bool operator==(const store_entry&, const store_entry&) = default;
};

} // namespace shallotcove::core
