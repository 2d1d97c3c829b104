#pragma once

#include <memory>
#include <vector>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/member.hpp>
#include <shallotcove/core/server_limit.hpp>
#include <shallotcove/core/service_config.hpp>
#include <shallotcove/core/time.hpp>

namespace shallotcove::core {

struct limit_policy_input {
    host_id self;
    /// Alive and suspect hosts, sorted by id.
    std::vector<member> owners;
    std::vector<std::shared_ptr<const service_config>> services;
    std::vector<server_limit> limits;
    timestamp now;
};

} // namespace shallotcove::core
