#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::core {

enum class member_state : std::uint8_t { Alive, Suspect, Leaving, Dead };

/// Maximum number of services that a host lists as blocked. If there are more, its retirementScanIndex does
/// not advance.
inline constexpr std::size_t maximumBlockedServices = 4;

/// One entry host as seen by a host.
struct member {
    host_id id;
    /// UDP address for peer messages.
    socket_address peerAddress;
    /// UDP address for redirected packets.
    socket_address packetAddress;
    std::string dataCentre;
    /// Increases with each start of the host and each suspicion that it refutes.
    std::uint64_t incarnation {};
    member_state state { member_state::Alive };
    /// Store revision up to which the host has applied all changes.
    config_index appliedIndex;
    /// Config index at which the last complete scan of the host's flows began.
    config_index retirementScanIndex;
    /// Config index up to which the host tracks open datagram flows whose server differs in a prepared epoch.
    config_index preparedScanIndex;
    /// Services for which the scan of retirementScanIndex found flows on a server other than the one that the
    /// newest active epoch chooses, sorted.
    std::vector<service_id> blockedServices;
    /// Whether the host holds the planner's lease and therefore receives load reports.
    bool isPlanner {};

    friend bool operator==(const member&, const member&) = default;
};

/// Identifier of the host with this peer address.
host_id hostIdFor(const socket_address& peerAddress);

} // namespace shallotcove::core
