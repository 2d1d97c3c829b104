#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <shallotcove/steering/store_change.hpp>

namespace shallotcove::wire {

/// Changes that one host passes on to another, complete up to a revision of the store.
struct passed_changes {
    std::uint64_t revision {};
    std::vector<steering::store_change> changes;

    friend bool operator==(const passed_changes&, const passed_changes&) = default;
};

/// Writes changes as a MessagePack array.
std::vector<std::byte> encodeChanges(const passed_changes&);

/// Nothing for bytes that are malformed or of another version.
std::optional<passed_changes> decodeChanges(std::span<const std::byte>);

} // namespace shallotcove::wire
