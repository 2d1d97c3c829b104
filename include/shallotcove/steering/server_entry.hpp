#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::steering {

enum class server_state : std::uint8_t { Ready, Draining };

/// Entry that a backend server keeps about itself in the store.
struct server_entry {
    std::string id;
    /// Number in front of each packet that is sent to the server. A server that took over the address of
    /// another one ignores packets with the number of the other.
    std::uint64_t wireId {};
    std::string service;
    core::socket_address address;
    std::string dataCentre;
    /// Number of requests that the server processes at the same time.
    std::uint32_t slots { 1 };
    server_state state { server_state::Ready };
    /// How much longer the server stays cold, counted from when the entry was written.
    std::chrono::milliseconds coldFor {};
    /// Unix time of the server's start in milliseconds; distinguishes two runs under the same id.
    std::int64_t startedAtMs {};

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

} // namespace shallotcove::steering
