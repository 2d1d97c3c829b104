#pragma once

#include <string>

#include <json/json.h>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/operations.hpp>

namespace shallotcove::core {

// Parameters of operator calls. Each function reports all problems together, with places such as
// "request.server.weight"; unknown fields are refused. src/rpc/operator_schema.json describes the fields.

struct server_addition {
    std::string service;
    new_server server;

    friend bool operator==(const server_addition&, const server_addition&) = default;
};

} // namespace shallotcove::core
