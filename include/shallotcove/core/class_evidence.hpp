#pragma once

#include <cstdint>
#include <shallotcove/core/ids.hpp>

namespace shallotcove::core {

/// Flows of one caller class of a service that were placed and refused since the last report.
struct class_evidence {
    service_id service;
    /// Index in service_config::classes, or its size for callers of no class.
    std::uint32_t callerClass {};
    std::uint32_t newFlows {};
    std::uint32_t refused {};

    friend bool operator==(const class_evidence&, const class_evidence&) = default;
};

} // namespace shallotcove::core
