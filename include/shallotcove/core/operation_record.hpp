#pragma once

#include <cstdint>
#include <string>

#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// Record of an operator's change, kept so that a repeat with the same id returns the first outcome.
struct operation_record {
    std::string id;
    std::string author;
    std::string summary;
    /// Revision of the service or data centre that the operation produced.
    std::uint64_t revision {};

    friend bool operator==(const operation_record&, const operation_record&) = default;
};

} // namespace shallotcove::core
