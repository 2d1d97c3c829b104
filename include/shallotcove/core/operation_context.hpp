#pragma once

#include <cstdint>
#include <optional>
#include <shallotcove/core/ids.hpp>
#include <string>

namespace shallotcove::core {

/// Given with every change.
struct operation_context {
    /// Chosen by the caller of the operation; a repeat with the same id learns the first outcome. Required.
    std::string operationId;
    std::string author;
    std::optional<std::uint64_t> expectedRevision;

    friend bool operator==(const operation_context&, const operation_context&) = default;
};

} // namespace shallotcove::core
