#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <shallotcove/steering/load_report.hpp>

namespace shallotcove::steering {

/// A host that may place flows.
struct host_descriptor {
    /// IPv4 address in host byte order; the port is the same on all hosts.
    std::uint32_t address {};
    std::string dataCentre;
    /// Processor time that the host may use, in thousandths of a core. The hosts with the most capacity watch
    /// the store for the others.
    std::uint32_t capacity {};

    friend bool operator==(const host_descriptor&, const host_descriptor&) = default;
};

/// Format of a message between hosts. Former hosts read only version 2.
enum class message_format : std::uint8_t { Version2 = 2, Version3 = 3 };

/// Message between two hosts.
struct neighbour_message {
    std::string dataCentre;
    /// Processor time that the sender may use, as in host_descriptor.
    std::uint32_t capacity {};
    /// Store revision up to which the sender knows every change.
    std::uint64_t storeRevision {};
    /// Whether the sender watches the store itself, and how long ago the store answered it last.
    bool isWatching {};
    std::chrono::milliseconds viewAge {};
    /// Requests the hosts that the receiver knows.
    bool wantsHosts {};
    std::vector<host_descriptor> hosts;
    /// Requests the loads that the receiver's data centre places on the servers.
    bool wantsLoads {};
    /// Loads that the sender places, or in an answer to another data centre those of all hosts of the
    /// sender's data centre.
    load_report loads;
    /// Whether the sender has loads that this message does not contain. The loads at servers that it does not
    /// list are then unchanged. Only in format version 3.
    bool isPartial {};
    /// Newest format that the sender can read.
    message_format newestFormat { message_format::Version3 };

    friend bool operator==(const neighbour_message&, const neighbour_message&) = default;
};

} // namespace shallotcove::steering
