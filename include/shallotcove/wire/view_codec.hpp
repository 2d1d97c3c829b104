#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <shallotcove/steering/store_change.hpp>

namespace shallotcove::wire {

/// Store changes that one host forwards to another, complete up to a revision of the store.
struct forwarded_changes {
    std::uint64_t revision {};
    std::vector<steering::store_change> changes;

    friend bool operator==(const forwarded_changes&, const forwarded_changes&) = default;
};

/// Encodes changes as a MessagePack array.
std::vector<std::byte> encodeChanges(const forwarded_changes&);

/// Returns nothing if the bytes are malformed or have another format version.
std::optional<forwarded_changes> decodeChanges(std::span<const std::byte>);

} // namespace shallotcove::wire
