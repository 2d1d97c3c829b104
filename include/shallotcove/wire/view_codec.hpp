#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <shallotcove/steering/config_change.hpp>
#include <shallotcove/steering/store_change.hpp>

namespace shallotcove::wire {

/// Format of forwarded changes.
enum class changes_format : std::uint8_t {
    /// Full configurations without route::isRepeatable; the only one that former versions of the product
    /// read.
    Former = 1,
    /// Full configurations with all fields of routes, or differences between configurations.
    Current = 2,
};

/// A configuration that is forwarded by its difference from the one that the receiver has.
struct forwarded_config {
    /// Revision of the store at which the newer configuration was written.
    std::uint64_t revision {};
    steering::config_change change;

    friend bool operator==(const forwarded_config&, const forwarded_config&) = default;
};

/// Store changes that one host forwards to another, complete up to a revision of the store.
struct forwarded_changes {
    std::uint64_t revision {};
    std::vector<steering::store_change> changes;
    /// Only in the current format, and then in place of a full configuration.
    std::optional<forwarded_config> config {};

    friend bool operator==(const forwarded_changes&, const forwarded_changes&) = default;
};

/// Encodes changes as a MessagePack array.
std::vector<std::byte> encodeChanges(const forwarded_changes&, changes_format);

/// Reads both formats. Returns nothing if the bytes are malformed or have another format.
std::optional<forwarded_changes> decodeChanges(std::span<const std::byte>);

} // namespace shallotcove::wire
