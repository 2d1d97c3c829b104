#pragma once

#include <cstdint>
#include <vector>

#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

struct server_load {
    server_tag server;
    std::uint32_t openFlows {};

    friend bool operator==(const server_load&, const server_load&) = default;
};

/// Open flows of one host, or of all hosts of a data centre, at each backend server. Servers without flows
/// are left out.
using load_report = std::vector<server_load>;

} // namespace shallotcove::steering
