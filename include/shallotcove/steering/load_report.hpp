#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

struct server_load {
    server_tag server;
    /// Flows with a request in progress.
    std::uint32_t openFlows {};
    /// All open flows; reported for services with long flows only, and only in format version 3.
    std::uint32_t establishedFlows {};
    /// Answer times of the server relative to those of comparable servers, in tenths; 0 if the sender has no
    /// conclusive evidence that the server is slow. Only in format version 3.
    std::uint8_t slownessTenths {};

    friend bool operator==(const server_load&, const server_load&) = default;
};

/// Open flows of one host, or of all hosts of a data centre, at each backend server. Servers without flows
/// and without evidence of slowness are left out.
using load_report = std::vector<server_load>;

/// Largest number of loads in one message between hosts.
inline constexpr std::size_t maximumLoadsPerMessage = 100;

} // namespace shallotcove::steering
