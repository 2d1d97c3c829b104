#pragma once

#include <memory>
#include <string>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/service_config.hpp>

namespace shallotcove::core {

/// A service as stored, with its key and the modification index of that key.
struct planner_service {
    std::string key;
    config_index modified;
    std::shared_ptr<const service_config> config;
};

} // namespace shallotcove::core
