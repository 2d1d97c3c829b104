#pragma once

#include <string>

#include <json/json.h>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/operations.hpp>

namespace shallotcove::core {

/// Parameters of the operator call serverAdd.
struct server_addition {
    std::string service;
    new_server server;

    friend bool operator==(const server_addition&, const server_addition&) = default;
};

} // namespace shallotcove::core
