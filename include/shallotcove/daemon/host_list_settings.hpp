#pragma once

#include <chrono>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/metrics.hpp>

namespace shallotcove::daemon {

struct host_list_settings {
    core::socket_address address;
    std::chrono::milliseconds pollInterval { 1000 };

    friend bool operator==(const host_list_settings&, const host_list_settings&) = default;
};

} // namespace shallotcove::daemon
