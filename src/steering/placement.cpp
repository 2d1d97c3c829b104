#include <shallotcove/steering/placement.hpp>

#include <algorithm>
#include <limits>
#include <vector>

#include <shallotcove/steering/cold_admission.hpp>
#include <shallotcove/steering/route.hpp>
#include <shallotcove/steering/server_record.hpp>
#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

namespace {

    // A server with a free slot answers at once, but its other requests make its work times less even. Kept
    // below the cost of waiting for one request, so that a busy slot in this data centre is preferred to a
    // queue.
    constexpr double busySlotsCost = 0.3;
    // Breaks ties between otherwise equal servers; below the cost of one busy slot of three.
    constexpr double positionCost = 0.08;

    // Limits the cost of established flows, above and below the mean of a data centre, to this share of the
    // cost of another data centre. An uneven spread then moves no flows to other data centres.
    constexpr double maximumEstablishedShare = 0.5;

    /// Properties shared by all servers of a data centre.
    struct data_centre_state {
        bool isPermitted {};
        bool isTrusted { true };
        bool isAdmitted { true };
        bool isLocal {};
        /// Flows per slot from which on a server counts as full.
        double flowsPerSlot {};
        /// Usable servers of the service in this data centre, and how many of them have been visited.
        std::size_t servers {};
        std::size_t visited {};
        /// Slots and established flows of these servers.
        double slots {};
        double establishedFlows {};
    };

    // While loads are stale, all hosts would choose the servers that appear idle and overload them. Each host
    // then uses only a subset of the servers of each data centre, sized so that about this many hosts share
    // it.
    constexpr double hostsPerSubset = 3;

    bool isInHomeRegion(const std::string& dataCentre, const route& target, const steering_options& options)
    {
        if (target.homeRegions.empty())
            return true;
        const auto region = options.regions.find(dataCentre);
        return region != options.regions.end()
            && std::find(target.homeRegions.begin(), target.homeRegions.end(), region->second)
            != target.homeRegions.end();
    }

    double flowsPerSlot(bool areLoadsKnown, const placement_context& context)
    {
        const steering_options& options = context.options;
        if (context.admission.limit == admission_limit::Late)
            return areLoadsKnown ? options.lateFlowsPerSlot : options.lateFlowsPerRemoteSlot;
        return context.admission.scale * (areLoadsKnown ? options.flowsPerSlot : options.flowsPerRemoteSlot);
    }

    std::vector<data_centre_state> describeDataCentres(const route& target, const placement_context& context)
    {
        std::vector<data_centre_state> dataCentreStates;
        dataCentreStates.reserve(context.dataCentres.size());
        for (const std::string& dataCentre : context.dataCentres) {
            data_centre_state summary;
            summary.isLocal = dataCentre == context.options.dataCentre;
            summary.isPermitted = !context.dataCentresOut.contains(dataCentre)
                && isInHomeRegion(dataCentre, target, context.options);
            const auto found = context.evidence.find(dataCentre);
            if (found != context.evidence.end()) {
                summary.isTrusted = !found->second.isSuspect();
                summary.isAdmitted = found->second.admits(context.now);
            }
            summary.flowsPerSlot
                = flowsPerSlot(summary.isLocal || context.remoteLoads.has(dataCentre), context);
            dataCentreStates.push_back(summary);
        }
        return dataCentreStates;
    }

    bool isCold(const server_record& server, const placement_context& context)
    {
        return context.now < server.coldUntil;
    }

    /// Number of other hosts that may place flows on the same server at the same time.
    double competingHosts(
        std::size_t others, const data_centre_state& dataCentreState, const placement_context& context)
    {
        if (!context.areLoadsStale)
            return static_cast<double>(others);
        const double hostsPerServer = static_cast<double>(context.hostCount)
            / static_cast<double>(std::max<std::size_t>(1, dataCentreState.servers));
        return std::min(std::max(hostsPerSubset, hostsPerServer) - 1, static_cast<double>(others));
    }

    bool hasRoom(const server_record& server, const data_centre_state& dataCentreState, double position,
        const placement_context& context)
    {
        if (context.areLoadsStale && position * static_cast<double>(context.hostCount) >= hostsPerSubset)
            return false;
        // Hosts that have not reported their loads are assumed to place as many flows as this one: after an
        // outage of all hosts, each would otherwise fill the servers by itself.
        const double assumed
            = competingHosts(context.neighboursWithoutReport, dataCentreState, context) * server.openFlows;
        const double expected = requestsInProgress(server) + assumed
            + competingHosts(context.neighbours, dataCentreState, context) * server.flowsSinceReport;
        return expected < dataCentreState.flowsPerSlot * effectiveSlots(server);
    }

    /// Position of a server in this host's order of the servers of a data centre, in the range [0, 1).
    double rotatedPosition(std::size_t index, std::size_t count, const placement_context& context)
    {
        const std::size_t first = context.hostIndex * count / std::max<std::size_t>(1, context.hostCount);
        return static_cast<double>((index + count - first % count) % count) / static_cast<double>(count);
    }

    double establishedFlowsOf(const server_record& server)
    {
        return server.establishedFlows + server.neighbourEstablishedFlows;
    }

    /// Expected cost of the requests on established flows while the new flow is open, in comparison with the
    /// other servers of the data centre: the flows that other data centres placed there are unknown.
    double establishedCost(const server_record& server, const data_centre_state& dataCentreState,
        const placement_context& context)
    {
        const double mean = dataCentreState.establishedFlows / std::max(1.0, dataCentreState.slots);
        const double difference = establishedFlowsOf(server) / std::max(1U, server.entry.slots) - mean;
        const double limit = maximumEstablishedShare * context.options.otherDataCentreCost;
        return std::clamp(context.establishedFlowCost * difference, -limit, limit);
    }

    /// Range of the cost by position. Must be less than the cost of one established flow where these count.
    double tieBreakCost(const server_record& server, const placement_context& context)
    {
        return context.establishedFlowCost <= 0
            ? positionCost
            : std::min(positionCost, context.establishedFlowCost / std::max(1U, server.entry.slots));
    }

    double costOf(const server_record& server, const data_centre_state& dataCentreState, double position,
        const placement_context& context)
    {
        double cost = expectedWait(server) + tieBreakCost(server, context) * position
            + establishedCost(server, dataCentreState, context);
        if (!dataCentreState.isLocal)
            cost += context.options.otherDataCentreCost;
        if (isCold(server, context))
            cost += context.options.coldServerCost;
        // The request itself takes longer at a slow server, also if it does not have to wait.
        if (server.capacity.isEstimated)
            cost += server.capacity.slowness - 1;
        return cost;
    }

    bool isPermitted(const server_record& server, const data_centre_state& dataCentreState)
    {
        return dataCentreState.isPermitted && server.entry.state == server_state::Ready;
    }

    /// Whether the server may get new flows, load and cold limit aside.
    bool isUsable(const server_record& server, const data_centre_state& dataCentreState,
        bool areTimeoutsConclusive, const placement_context& context)
    {
        return isPermitted(server, dataCentreState) && dataCentreState.isAdmitted
            && server.evidence.admits(context.now)
            && !(areTimeoutsConclusive && server.answers.isSuspect(context.now));
    }

    enum class suitability : std::uint8_t { Offered, Suspect, Admitted };

    suitability suitabilityOf(
        const server_record& server, bool isServerUsable, std::span<const server_tag> offered)
    {
        if (std::find(offered.begin(), offered.end(), server.tag) != offered.end())
            return suitability::Offered;
        return isServerUsable ? suitability::Admitted : suitability::Suspect;
    }

} // namespace

double flowsPerSlotOf(const server_record& server)
{
    const double load = server.openFlows + server.neighbourFlows + server.remoteFlows;
    return load / std::max(1U, server.entry.slots);
}

double expectedWait(const server_record& server)
{
    const double load = requestsInProgress(server);
    const double slots = effectiveSlots(server);
    if (load < slots)
        return busySlotsCost * load / slots;
    return busySlotsCost + (load - slots + 1) / slots;
}

placement placeFlow(std::span<server_record* const> servers, std::span<const server_tag> offered,
    const route& target, const placement_context& context)
{
    placement result;
    suitability best = suitability::Offered;
    double bestCost = std::numeric_limits<double>::infinity();
    bool isColdLimited = false;
    bool isFull = false;
    std::uint64_t ownFlows = 0;
    std::vector<data_centre_state> dataCentreStates = describeDataCentres(target, context);
    const std::ptrdiff_t unansweringServers = std::count_if(servers.begin(), servers.end(),
        [&](const server_record* server) { return server->answers.isSuspect(context.now); });
    const bool areTimeoutsConclusive = static_cast<double>(unansweringServers)
        <= context.options.maximumUnansweredShare * static_cast<double>(servers.size());
    for (const server_record* const server : servers) {
        data_centre_state& dataCentreState = dataCentreStates[server->dataCentreIndex];
        if (!isUsable(*server, dataCentreState, areTimeoutsConclusive, context))
            continue;
        ++dataCentreState.servers;
        dataCentreState.slots += std::max(1U, server->entry.slots);
        dataCentreState.establishedFlows += establishedFlowsOf(*server);
    }
    for (server_record* const candidate : servers) {
        server_record& server = *candidate;
        data_centre_state& dataCentreState = dataCentreStates[server.dataCentreIndex];
        if (!isPermitted(server, dataCentreState))
            continue;
        const bool isServerUsable = isUsable(server, dataCentreState, areTimeoutsConclusive, context);
        const double position = isServerUsable
            ? rotatedPosition(dataCentreState.visited++, dataCentreState.servers, context)
            : 0.0;
        ++result.permitted;
        ownFlows += server.openFlows;
        result.trusted += dataCentreState.isTrusted && !server.evidence.isSuspect() ? 1 : 0;
        const suitability candidateSuitability = suitabilityOf(server, isServerUsable, offered);
        const double cost = costOf(server, dataCentreState, position, context);
        if (candidateSuitability < best || (candidateSuitability == best && cost >= bestCost))
            continue;
        if (context.coldFlowsPerSecond > 0 && isCold(server, context)
            && !context.cold.admits(server.tag, context.coldFlowsPerSecond, context.now)) {
            isColdLimited = true;
            continue;
        }
        if (context.admission.limit != admission_limit::None
            && !hasRoom(server, dataCentreState, position, context)) {
            isFull = true;
            continue;
        }
        best = candidateSuitability;
        bestCost = cost;
        result.server = &server;
    }
    if (context.admission.limit != admission_limit::None
        && static_cast<double>(ownFlows) >= context.ownFlowLimit) {
        isFull = true;
        result.server = nullptr;
    }
    // The flow waits for a usable server that is full rather than going to a suspect one.
    if (isFull && best < suitability::Admitted)
        result.server = nullptr;
    if (result.server == nullptr)
        result.failure = isFull ? packet_reason::Waiting
            : isColdLimited     ? packet_reason::ColdLimit
                                : packet_reason::NoServer;
    else if (context.coldFlowsPerSecond > 0 && isCold(*result.server, context))
        context.cold.recordPlacement(result.server->tag, context.now);
    return result;
}

} // namespace shallotcove::steering
