#pragma once

#include <cstddef>

namespace shallotcove::steering {

/// Position of a host among the hosts of its data centre in the order of their addresses, and their number.
struct host_position {
    std::size_t index {};
    std::size_t count { 1 };

    friend bool operator==(const host_position&, const host_position&) = default;
};

} // namespace shallotcove::steering
