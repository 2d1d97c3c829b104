#include <shallotcove/steering/placement.hpp>

#include <algorithm>
#include <limits>

#include <shallotcove/steering/cold_admission.hpp>
#include <shallotcove/steering/route.hpp>
#include <shallotcove/steering/server_record.hpp>
#include <shallotcove/steering/steering_options.hpp>

namespace shallotcove::steering {

namespace {

    // A server with a free slot answers at once, but its other requests make work times less even. Kept below
    // the cost of one wait, so that a busy slot nearby is better than a queue.
    constexpr double busySlotsCost = 0.3;
    // Orders servers that are otherwise equal; below the cost of one busy slot of three.
    constexpr double orderCost = 0.08;

    bool isHome(const server_record& server, const route& target, const steering_options& options)
    {
        if (target.homeRegions.empty())
            return true;
        const auto region = options.regions.find(server.entry.dataCentre);
        return region != options.regions.end()
            && std::find(target.homeRegions.begin(), target.homeRegions.end(), region->second)
            != target.homeRegions.end();
    }

    bool isPermitted(const server_record& server, const route& target, const placement_context& context)
    {
        return server.presence != server_presence::Left && server.entry.state == server_state::Ready
            && !context.dataCentresOut.contains(server.entry.dataCentre)
            && isHome(server, target, context.options);
    }

    const data_centre_evidence* evidenceOf(const server_record& server, const placement_context& context)
    {
        const auto found = context.dataCentres.find(server.entry.dataCentre);
        return found == context.dataCentres.end() ? nullptr : &found->second;
    }

    bool isTrusted(const server_record& server, const placement_context& context)
    {
        const data_centre_evidence* const place = evidenceOf(server, context);
        return !server.evidence.isSuspect() && (place == nullptr || !place->isSuspect());
    }

    bool isAdmitted(const server_record& server, const placement_context& context)
    {
        const data_centre_evidence* const place = evidenceOf(server, context);
        return server.evidence.admits(context.now) && (place == nullptr || place->admits(context.now));
    }

    bool isCold(const server_record& server, const placement_context& context)
    {
        return context.now < server.coldUntil;
    }

    bool hasRoom(const server_record& server, const placement_context& context)
    {
        const bool isKnown = server.entry.dataCentre == context.options.dataCentre
            || context.places.has(server.entry.dataCentre);
        const steering_options& options = context.options;
        const bool isLate = context.limit == admission_limit::Late;
        const double perSlot = isKnown ? (isLate ? options.lateFlowsPerSlot : options.flowsPerSlot)
                                       : (isLate ? options.lateFlowsPerFarSlot : options.flowsPerFarSlot);
        // Hosts that have not told their loads are assumed to do as this one: after an outage of all hosts,
        // each would otherwise fill the servers by itself.
        const double assumed = static_cast<double>(context.unheardNeighbours) * server.openFlows;
        const double expected = server.openFlows + server.neighbourFlows + server.farFlows + assumed
            + static_cast<double>(server.freshFlows) * static_cast<double>(context.neighbours);
        return expected < perSlot * std::max(1U, server.entry.slots);
    }

    /// The position of a server in this host's order of equal servers, from 0 up to 1.
    double orderOf(std::size_t index, std::size_t count, const placement_context& context)
    {
        const std::size_t first = context.hostIndex * count / std::max<std::size_t>(1, context.hostCount);
        return static_cast<double>((index + count - first % count) % count) / static_cast<double>(count);
    }

    double costOf(
        const server_record& server, std::size_t index, std::size_t count, const placement_context& context)
    {
        double cost = queueLength(server) + orderCost * orderOf(index, count, context);
        if (server.entry.dataCentre != context.options.dataCentre)
            cost += context.options.otherDataCentreCost;
        if (isCold(server, context))
            cost += context.options.coldServerCost;
        return cost;
    }

    enum class suitability : std::uint8_t { Offered, Suspect, Admitted };

    suitability suitabilityOf(
        const server_record& server, std::span<const server_tag> offered, const placement_context& context)
    {
        if (std::find(offered.begin(), offered.end(), server.tag) != offered.end())
            return suitability::Offered;
        return isAdmitted(server, context) ? suitability::Admitted : suitability::Suspect;
    }

} // namespace

double queueLength(const server_record& server)
{
    const double load = server.openFlows + server.neighbourFlows + server.farFlows;
    const double slots = std::max(1U, server.entry.slots);
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
    bool isHeldByLimit = false;
    bool isHeldByLoad = false;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        server_record& server = *servers[index];
        if (!isPermitted(server, target, context))
            continue;
        ++result.permitted;
        result.trusted += isTrusted(server, context) ? 1 : 0;
        const suitability suits = suitabilityOf(server, offered, context);
        const double cost = costOf(server, index, servers.size(), context);
        if (suits < best || (suits == best && cost >= bestCost))
            continue;
        if (context.coldFlowsPerSecond > 0 && isCold(server, context)
            && !context.cold.admits(server.tag, context.coldFlowsPerSecond, context.now)) {
            isHeldByLimit = true;
            continue;
        }
        if (context.limit != admission_limit::None && !hasRoom(server, context)) {
            isHeldByLoad = true;
            continue;
        }
        best = suits;
        bestCost = cost;
        result.server = &server;
    }
    // A suspect server is no better than one that has no room yet.
    if (isHeldByLoad && best < suitability::Admitted)
        result.server = nullptr;
    if (result.server == nullptr)
        result.failure = isHeldByLoad ? packet_reason::Waiting
            : isHeldByLimit           ? packet_reason::ColdLimit
                                      : packet_reason::NoServer;
    else if (context.coldFlowsPerSecond > 0 && isCold(*result.server, context))
        context.cold.recordPlacement(result.server->tag, context.now);
    return result;
}

} // namespace shallotcove::steering
