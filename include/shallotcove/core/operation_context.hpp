#pragma once

#include <cstdint>
#include <optional>
#include <shallotcove/core/ids.hpp>
#include <string>

namespace shallotcove::core {

/// Identifies a change, its author and the revision that it is based on; required for every change.
struct operation_context {
    /// Chosen by the client of the operator call. A repeat with the same id returns the first outcome instead
    /// of changing anything again. Required.
    std::string operationId;
    std::string author;
    /// If set, the operation fails with Conflict unless this is the current revision.
    std::optional<std::uint64_t> expectedRevision;

    friend bool operator==(const operation_context&, const operation_context&) = default;
};

} // namespace shallotcove::core
