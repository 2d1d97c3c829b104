#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <shallotcove/core/config_json.hpp>
#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::core {

enum class address_availability : std::uint8_t {
    Free,
    /// Reserved for the service of this name, by an attempt to create it that was not completed.
    Owned,
    /// Used by another service.
    InUse,
    /// Removed from a service, but not yet at every host.
    Removing,
};

/// Progress of a host that may still forward packets of a removed address.
struct host_progress {
    std::string name;
    config_index appliedIndex;
    /// Whether the platform's list names the host.
    bool isListed {};
    /// Whether the members consider the host dead.
    bool isDead {};

    friend bool operator==(const host_progress&, const host_progress&) = default;
};

struct address_decision {
    address_availability availability { address_availability::Free };
    /// Explains to the operator why the address is not available; empty if it is.
    std::string message;
    /// Hosts that have not applied the removal, in the order given.
    std::vector<std::string> hostsBehind;

    friend bool operator==(const address_decision&, const address_decision&) = default;
};

/// Reservation of an address as read from the store.
struct stored_reservation {
    address_reservation reservation;
    /// Store revision of the last change of the key; for a removal the index that every host has to apply.
    config_index changedAt;
};

/// Hosts that have not applied an index. Hosts that are dead and not listed are left out.
std::vector<std::string> hostsBehind(config_index required, const std::vector<host_progress>& hosts);

/// Decides whether a service may take an address. An empty list of hosts means that no host is known, so a
/// removal can't be confirmed and the address stays unavailable.
address_decision decideAddress(const std::string& serviceName, const socket_address&, transport,
    const std::optional<stored_reservation>&, const std::vector<host_progress>& hosts);

} // namespace shallotcove::core
