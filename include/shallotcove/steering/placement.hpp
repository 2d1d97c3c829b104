#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/data_centre_evidence.hpp>
#include <shallotcove/steering/flow_admission.hpp>
#include <shallotcove/steering/neighbour_loads.hpp>
#include <shallotcove/steering/packet_decision.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

class cold_admission;
struct route;
struct server_record;
struct steering_options;

/// Inputs of the placement of a new flow, apart from the servers.
struct placement_context {
    const steering_options& options;
    /// Names of the data centres, indexed by server_record::dataCentreIndex.
    const std::vector<std::string>& dataCentres;
    const std::set<std::string>& dataCentresOut;
    const std::map<std::string, data_centre_evidence>& evidence;
    /// Data centres that reported their loads recently.
    const neighbour_loads<std::string>& remoteLoads;
    cold_admission& cold;
    /// Limit of new flows per second at a cold server of the service; 0 for none.
    double coldFlowsPerSecond {};
    /// Position of this host among the hosts of its data centre that place flows.
    std::size_t hostIndex {};
    std::size_t hostCount { 1 };
    /// Whether the interval between load reports of neighbours is longer than most requests take.
    bool areLoadsStale {};
    /// Number of other hosts that place flows on the same servers at the same time.
    std::size_t neighbours {};
    /// Neighbours that have not reported their loads yet; only counted shortly after the start of this host.
    std::size_t neighboursWithoutReport {};
    /// Limit of the flows of this host at all servers of the service, while it does not know what others
    /// place.
    double ownFlowLimit { std::numeric_limits<double>::infinity() };
    flow_admission admission;
    core::timestamp now;
    /// Cost of one established flow per slot, in units of waiting for one request; 0 for services without
    /// long flows, whose placement ignores established flows.
    double establishedFlowCost {};
};

/// The server chosen for a new flow, or why there is none.
struct placement {
    server_record* server {};
    packet_reason failure { packet_reason::None };
    /// Servers whose state and operator configuration permit new flows.
    std::uint32_t permitted {};
    /// Permitted servers that are not suspect, neither themselves nor by their data centre.
    std::uint32_t trusted {};
};

/// Chooses the server that is expected to answer first: few open flows per slot, local, warm and not suspect.
/// Equal servers are ranked in an order that differs from host to host. Each host sees only a part of the
/// flows, and the hosts would otherwise all choose the same server.
placement placeFlow(std::span<server_record* const> servers, std::span<const server_tag> offered,
    const route&, const placement_context&);

/// Known load of a server in flows for each of its slots.
double flowsPerSlotOf(const server_record&);

/// Expected wait until the server starts one more request, in units of one request.
double expectedWait(const server_record&);

} // namespace shallotcove::steering
