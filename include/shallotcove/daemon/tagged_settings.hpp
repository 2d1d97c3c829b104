#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/settings.hpp>

namespace shallotcove::daemon {

/// Limits of the log, of the process and of the load of servers.
struct tagged_limits {
    /// Average lines per second, which is also the largest burst; lines above the limit are counted and
    /// dropped.
    std::size_t logLinesPerSecond { 400 };
    /// Maximum number of flows that the host tracks; each takes 300 bytes.
    std::size_t flows { 16384 };
    /// Flows that a server gets for each slot at most, for services with long flows.
    double flowsPerSlot { 4 };
    /// Share of the starts of waiting flows that is reserved for the lower priorities, for services with long
    /// flows.
    double lowPriorityShare { 0.1 };
    /// How long a request on an open flow is held while its server has no room; 0 to disable.
    std::chrono::milliseconds requestHold { 100 };

    friend bool operator==(const tagged_limits&, const tagged_limits&) = default;
};

/// Settings of a host on the tagged transport, whose packets carry the tag of their backend server
/// (docs/settings-tagged.md).
struct tagged_settings {
    std::string name;
    std::string dataCentre;
    core::socket_address packetAddress;
    core::socket_address readinessAddress;
    core::socket_address peerAddress;
    core::socket_address metricsAddress;
    core::socket_address storeAddress;
    /// Hosts through which this host joins the fleet; their peer port is that of this host.
    std::vector<core::socket_address> seeds;
    /// Region of each data centre.
    std::map<std::string, std::string> regions;
    /// Processor time that the host may use, in cores. The hosts with the largest share pass changes of the
    /// store on to the others.
    double processorShare { 1 };
    log_level logLevel { log_level::Info };
    tagged_limits limits;
    /// Maximum duration of a graceful shutdown.
    std::chrono::milliseconds shutdownTimeout { 5000 };

    friend bool operator==(const tagged_settings&, const tagged_settings&) = default;
};

/// Whether the settings select the tagged transport.
bool isTaggedTransport(std::string_view json);

/// Parses and validates settings. All problems are reported together, in the order of their lines.
tl::expected<tagged_settings, settings_problems> parseTaggedSettings(std::string_view json);

} // namespace shallotcove::daemon
