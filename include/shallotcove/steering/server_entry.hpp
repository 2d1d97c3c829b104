#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::steering {

enum class server_state : std::uint8_t { Ready, Draining };

/// What a backend server says of itself in the store.
struct server_entry {
    std::string id;
    /// Number in front of each packet, so that a server that took over the address ignores it.
    std::uint64_t wireId {};
    std::string service;
    core::socket_address address;
    std::string dataCentre;
    /// Requests that the server works on at the same time.
    std::uint32_t slots { 1 };
    server_state state { server_state::Ready };
    /// How much longer the server is cold, counted from the write of the entry.
    std::chrono::milliseconds coldFor {};
    /// Unix time of the server's start in milliseconds; tells two runs under one id apart.
    std::int64_t startedAtMs {};

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

} // namespace shallotcove::steering
