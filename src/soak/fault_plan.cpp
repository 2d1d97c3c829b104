#include "fault_plan.hpp"

#include <algorithm>

#include <pcg_random.hpp>

#include "soak_options.hpp"

namespace shallotcove::soak {

namespace {

    // Some pauses exceed the settle time of the promise checker, so that hosts are also checked between
    // faults.
    constexpr std::uint32_t maxPauseMs = 1600;
    constexpr std::uint32_t quietPauseMs = 5500;
    constexpr std::uint32_t oneInQuiet = 7;
    constexpr std::uint32_t minFaultMs = 300;
    constexpr std::uint32_t maxFaultMs = 4500;

} // namespace

const char* textOf(fault_kind kind)
{
    switch (kind) {
    case fault_kind::HostKilled:
        return "host killed";
    case fault_kind::HostsKilledTogether:
        return "hosts killed together";
    case fault_kind::AllHostsKilled:
        return "all hosts killed";
    case fault_kind::HostStopped:
        return "host stopped";
    case fault_kind::DataCentreStoppedInTurn:
        return "hosts of a data centre stopped in turn";
    case fault_kind::HostPaused:
        return "host paused";
    case fault_kind::SettingsChanged:
        return "settings changed";
    case fault_kind::StoreConnectionDelayed:
        return "store connection of a host delayed";
    case fault_kind::StoreConnectionReset:
        return "store connections of a host reset";
    case fault_kind::StoreConnectionSilent:
        return "store connections of a host silent";
    case fault_kind::StoreResponsesLost:
        return "answers of the store to a host lost";
    case fault_kind::PacketsToHostLost:
        return "packets to a host lost";
    case fault_kind::PacketsFromHostLost:
        return "packets from a host lost";
    case fault_kind::PacketsDelayed:
        return "packets to a host delayed";
    case fault_kind::StoreBusy:
        return "store busy";
    case fault_kind::StoreRefusesCalls:
        return "store refuses calls";
    case fault_kind::StoreSilent:
        return "store silent";
    case fault_kind::StoreDown:
        return "store down";
    case fault_kind::StoreHistoryDropped:
        return "store forgets its history";
    case fault_kind::ServerCrashed:
        return "server crashes";
    case fault_kind::ServerReplaced:
        return "server replaced";
    case fault_kind::AddressReused:
        return "address of a server reused";
    case fault_kind::ServerAdded:
        return "server added";
    case fault_kind::DataCentreCut:
        return "data centre cut off";
    case fault_kind::DataCentreOut:
        return "data centre taken out";
    case fault_kind::ConfigChanged:
        return "configuration changed";
    case fault_kind::ConfigStorm:
        return "configurations in quick succession";
    }
    return "unknown";
}

bool disturbsTraffic(fault_kind kind)
{
    switch (kind) {
    case fault_kind::HostKilled:
    case fault_kind::HostsKilledTogether:
    case fault_kind::AllHostsKilled:
    case fault_kind::HostPaused:
    case fault_kind::PacketsToHostLost:
    case fault_kind::PacketsFromHostLost:
    case fault_kind::PacketsDelayed:
    case fault_kind::ServerCrashed:
    case fault_kind::AddressReused:
    case fault_kind::DataCentreCut:
        return true;
    default:
        return false;
    }
}

std::vector<fault> planFaults(const soak_options& options)
{
    pcg32 random(options.seed);
    std::vector<fault> faults;
    const std::chrono::milliseconds end
        = warmUpTime + std::chrono::milliseconds { static_cast<std::int64_t>(1000 * options.faultSeconds) };
    std::chrono::milliseconds next = warmUpTime;
    while (next < end) {
        const std::chrono::milliseconds duration { minFaultMs + random(maxFaultMs - minFaultMs) };
        faults.push_back({ static_cast<fault_kind>(random(static_cast<std::uint32_t>(faultKindCount))), next,
            duration, random() });
        const bool isQuiet = random(oneInQuiet) == 0;
        next += std::chrono::milliseconds { isQuiet ? duration.count() + quietPauseMs : random(maxPauseMs) };
    }
    return faults;
}

} // namespace shallotcove::soak
