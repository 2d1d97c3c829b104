#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace shallotcove::soak {

enum class fault_kind : std::uint8_t {
    // Signals to hosts.
    HostKilled,
    HostsKilledTogether,
    AllHostsKilled,
    HostStopped,
    DataCentreStoppedInTurn,
    HostPaused,
    SettingsChanged,
    // Connections of one host.
    StoreConnectionDelayed,
    StoreConnectionReset,
    StoreConnectionSilent,
    StoreAnswersLost,
    PacketsToHostLost,
    PacketsFromHostLost,
    PacketsDelayed,
    // The store, for all hosts.
    StoreBusy,
    StoreRefusesCalls,
    StoreSilent,
    StoreDown,
    StoreForgetsHistory,
    // Servers and data centres.
    ServerCrashes,
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
/// Whether requests may be lost beside it; beside planned work and trouble of the store they may not.
bool disturbsTraffic(fault_kind);

/// One fault of a run.
struct fault {
    fault_kind kind {};
    /// From the start of the traffic.
    std::chrono::milliseconds at {};
    std::chrono::milliseconds length {};
    /// Chooses among hosts, servers or data centres.
    std::uint32_t target {};

    friend auto operator<=>(const fault&, const fault&) = default;
};

} // namespace shallotcove::soak
