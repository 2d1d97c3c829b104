#pragma once

#include <cstdint>
#include <string>

#include <json/json.h>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// Parameters of the operator call serverWeight.
struct server_weight_change {
    std::string service;
    backend_server_id server;
    std::uint32_t weight {};

    friend bool operator==(const server_weight_change&, const server_weight_change&) = default;
};

} // namespace shallotcove::core
