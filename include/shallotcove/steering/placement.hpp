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
#include <shallotcove/steering/neighbour_loads.hpp>
#include <shallotcove/steering/packet_decision.hpp>
#include <shallotcove/steering/server_tag.hpp>

namespace shallotcove::steering {

class cold_admission;
struct route;
struct server_record;
struct steering_options;

/// Which servers count as full and are passed over.
enum class admission_limit : std::uint8_t {
    /// None: the flow was offered before, and its caller waits.
    None,
    /// Those with all the flows that they can work on.
    Timely,
    /// The same for a flow whose answer is late anyhow: the queues of servers are left to timely flows.
    Late,
};

/// What decides where a new flow goes, besides the servers themselves.
struct placement_context {
    const steering_options& options;
    /// Data centres by the index that records of servers hold.
    const std::vector<std::string>& dataCentres;
    const std::set<std::string>& dataCentresOut;
    const std::map<std::string, data_centre_evidence>& evidence;
    /// Which data centres told their loads not long ago.
    const neighbour_loads<std::string>& remoteLoads;
    cold_admission& cold;
    /// Limit of a cold server of the service; 0 for none.
    double coldFlowsPerSecond {};
    /// Position of this host among the hosts of its data centre that place flows.
    std::size_t hostIndex {};
    std::size_t hostCount { 1 };
    /// Whether the loads that neighbours told are older than most requests.
    bool areLoadsStale {};
    /// Hosts that place flows on the same servers at the same time.
    std::size_t neighbours {};
    /// Those of them that have not told their loads yet, shortly after this host's start.
    std::size_t neighboursWithoutReport {};
    /// Flows that this host may have at all servers of the service while it does not know what others place.
    double ownFlowLimit { std::numeric_limits<double>::infinity() };
    admission_limit limit { admission_limit::None };
    core::timestamp now;
};

/// A server for a new flow, or why there is none.
struct placement {
    server_record* server {};
    packet_reason failure { packet_reason::None };
    /// Servers that may take new flows by their state and the operators' configuration.
    std::uint32_t permitted {};
    /// Permitted servers that this host believes to be reachable.
    std::uint32_t trusted {};
};

/// Chooses the server that answers soonest: few open flows for its slots, near, warm, not suspect. Answers
/// the usual load of a data centre whose hosts each see a part of the flows: equal servers are taken in an
/// order that differs from host to host, so that hosts do not meet at the same one.
placement placeFlow(std::span<server_record* const> servers, std::span<const server_tag> offered,
    const route&, const placement_context&);

/// Wait before the server begins with one more request, in times of one request.
double expectedWait(const server_record&);

} // namespace shallotcove::steering
