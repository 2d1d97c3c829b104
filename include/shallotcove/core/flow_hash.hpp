#pragma once

#include <compare>
#include <cstdint>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// 128-bit hash that stands for a flow key in tables and peer messages.
struct flow_hash {
    std::uint64_t high {};
    std::uint64_t low {};

    friend constexpr auto operator<=>(const flow_hash&, const flow_hash&) = default;
};

} // namespace shallotcove::core
