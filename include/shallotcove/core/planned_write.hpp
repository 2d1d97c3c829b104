#pragma once

#include <string>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/service_config.hpp>

namespace shallotcove::core {

/// New value of a service, to be written only if the modification index of its key is still `expected`.
struct planned_write {
    std::string key;
    config_index expected;
    service_config config;

    friend bool operator==(const planned_write&, const planned_write&) = default;
};

} // namespace shallotcove::core
