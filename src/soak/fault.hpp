#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace shallotcove::soak {

enum class fault_kind : std::uint8_t {
    // Faults of host processes.
    HostKilled,
    HostsKilledTogether,
    AllHostsKilled,
    HostStopped,
    DataCentreStoppedInTurn,
    HostPaused,
    SettingsChanged,
    // Faults of the links of one host.
    StoreConnectionDelayed,
    StoreConnectionReset,
    StoreConnectionSilent,
    StoreResponsesLost,
    PacketsToHostLost,
    PacketsFromHostLost,
    PacketsDelayed,
    // Store faults that affect all hosts.
    StoreBusy,
    StoreRefusesCalls,
    StoreSilent,
    StoreDown,
    StoreHistoryDropped,
    // Faults and planned changes of servers, data centres and configurations.
    ServerCrashed,
    ServerReplaced,
    AddressReused,
    ServerAdded,
    DataCentreCut,
    DataCentreOut,
    ConfigChanged,
    ConfigStorm,
};

inline constexpr std::size_t faultKindCount = static_cast<std::size_t>(fault_kind::ConfigStorm) + 1;

const char* textOf(fault_kind);
/// Whether requests may be lost during such a fault. During planned changes and store faults they may not.
bool disturbsTraffic(fault_kind);

/// A scheduled fault.
struct fault {
    fault_kind kind {};
    /// Offset from the start of the traffic.
    std::chrono::milliseconds at {};
    std::chrono::milliseconds duration {};
    /// Random number that selects the host, server or data centre.
    std::uint32_t target {};

    friend auto operator<=>(const fault&, const fault&) = default;
};

} // namespace shallotcove::soak
