#pragma once

#include <chrono>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/metrics.hpp>

namespace shallotcove::daemon {

struct store_settings {
    core::socket_address address;
    std::chrono::milliseconds requestTimeout { 2000 };

    friend bool operator==(const store_settings&, const store_settings&) = default;
};

} // namespace shallotcove::daemon
