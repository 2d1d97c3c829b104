#pragma once

#include <string>

#include <json/json.h>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

struct server_reference {
    std::string service;
    backend_server_id server;

    friend bool operator==(const server_reference&, const server_reference&) = default;
};

} // namespace shallotcove::core
