#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace shallotcove::core {

/// Strongly typed number; Tag makes each kind of identifier its own type.
template <typename Tag, typename Number> struct strong_number {
    Number value {};

    friend constexpr auto operator<=>(const strong_number&, const strong_number&) = default;
};

/// Identifies an entry host for as long as it keeps its peer address: the hash of that address.
using host_id = strong_number<struct host_id_tag, std::uint64_t>;
/// Identifies a service; never reused.
using service_id = strong_number<struct service_id_tag, std::uint32_t>;
/// Identifies a backend server within its service; never reused. 0 stands for none.
using backend_server_id = strong_number<struct backend_server_id_tag, std::uint32_t>;
/// Numbers the plans of a service in the order in which they were made.
using epoch_number = strong_number<struct epoch_number_tag, std::uint64_t>;
/// Revision of the key-value service up to which changes are known; 0 stands for none.
using config_index = strong_number<struct config_index_tag, std::uint64_t>;

} // namespace shallotcove::core

template <typename Tag, typename Number> struct std::hash<shallotcove::core::strong_number<Tag, Number>> {
    std::size_t operator()(const shallotcove::core::strong_number<Tag, Number>& number) const noexcept
    {
        return std::hash<Number> {}(number.value);
    }
};
