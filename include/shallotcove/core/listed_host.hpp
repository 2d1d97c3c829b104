#pragma once

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <string>

namespace shallotcove::core {

/// An entry of the platform's host list.
struct listed_host {
    socket_address peerAddress;
    std::string dataCentre;
    bool isLeaving {};

    friend bool operator==(const listed_host&, const listed_host&) = default;
};

} // namespace shallotcove::core
