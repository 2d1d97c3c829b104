#include "packet_engine_implementation.hpp"

namespace shallotcove::core {

decision packet_engine::implementation::handlePacket(
    const packet_summary& packet, const socket_address& fabricAddress, timestamp now)
{
    detectPause(now);
    if (!isReady())
        return drop(drop_reason::NoSnapshot);
    service_view* const service = m_view->findService(packet.key.service, packet.key.protocol);
    if (service == nullptr)
        return drop(drop_reason::NoService);
    const flow_hash flow = hashFlow(packet.key, m_view->snapshot().flowHashSeed);
    packet_context context { packet, *service, flow,
        { service->id(), flow, redirect_stage::Owner, 0, {}, m_view->snapshot().self, fabricAddress }, now };
    flow_entry* const entry = m_records.findLocal(flow, service->id(), now);
    if (entry == nullptr)
        return routeUnknown(context);
    if (isReplaceable(context, *entry)) {
        m_records.eraseLocal(*entry);
        return routeUnknown(context);
    }
    return forwardLocal(context, *entry);
}

decision packet_engine::implementation::routeUnknown(packet_context& context)
{
    const service_id service = context.service.id();
    const bool isTrackedHere = m_records.findTracked(context.flow, service, context.now) != nullptr;
    if (isTrackedHere || !isSynchronized(context.now))
        return route(context);
    const flow_choice choice = context.service.choose(context.flow);
    return choice.isAmbiguous ? route(context) : placeUnambiguous(context, choice);
}

/// Whether the entry belongs to an earlier flow with the same address pair, at a server that takes no new
/// flows.
bool packet_engine::implementation::isReplaceable(
    const packet_context& context, const flow_entry& entry) const
{
    if (!context.isFirst() || !isStale(entry, context.now))
        return false;
    const server_view* const server = context.service.findServer(entry.server);
    return server == nullptr || !server->acceptsNewFlows();
}

decision packet_engine::implementation::forwardLocal(packet_context& context, flow_entry& entry)
{
    const bool isUncertain = isStale(entry, context.now)
        || (entry.has(flow_flag::Unconfirmed) && !entry.has(flow_flag::Tracked));
    const bool mayBePlacedElsewhere
        = isUncertain && context.service.canBeAmbiguous() && context.service.choose(context.flow).isAmbiguous;
    return mayBePlacedElsewhere ? confirmWithOwner(context, entry) : forwardKnown(context, entry);
}

/// Handles a packet whose entry may not match the owner's: either the flow was unambiguous when its first
/// packet was forwarded here but no longer is, and the caller may have repeated the first packet at another
/// host; or the entry is stale, and the caller may have used the address pair again. Redirects the packet
/// with the server of this entry to the owner, which uses that server unless it has an entry itself.
decision packet_engine::implementation::confirmWithOwner(packet_context& context, flow_entry& entry)
{
    const server_view* const server = context.service.findServer(entry.server);
    const flow_role role = roleFor(context.flow);
    const bool isDecidedHere = role.isOwner || server == nullptr || server->state == server_state::Removed
        || server->isDataCentreOut
        || (context.isFirst() && !mayForwardFirstPacket(entry, *server, context.now));
    if (isDecidedHere) {
        flow_entry* const tracked = m_records.findTracked(context.flow, context.service.id(), context.now);
        return forwardKnown(context, tracked != nullptr ? *tracked : entry);
    }
    if (!context.isFirst() && entry.has(flow_flag::AwaitsSecondPacket)) {
        entry.clear(flow_flag::AwaitsSecondPacket);
        ++server->counters->establishedFlows;
    }
    return redirect(context, role.owner, redirect_stage::Replicate, entry.server);
}

decision packet_engine::implementation::placeUnambiguous(packet_context& context, const flow_choice& choice)
{
    server_view* const server = choice.base;
    if (server == nullptr || server->state == server_state::Removed)
        return drop(drop_reason::NoServer);
    if (server->isDataCentreOut)
        return context.mayBeNew() ? drop(drop_reason::DataCentreOut) : refuse(refusal_reason::DataCentreOut);
    if (context.isFirst() && context.service.config().state == service_state::Removing)
        return drop(drop_reason::NoService);
    if (context.mayBeNew() && !admitClass(context))
        return refuse(refusal_reason::ClassLimit);
    // The last packet of a flow without an entry needs none: if the packet is repeated, its server is
    // computed again.
    if (context.packet.isFinal || context.packet.isReset)
        return forwardTo(context, *server);
    const std::uint32_t flags
        = context.isFirst() ? flow_flag::AwaitsSecondPacket | flow_flag::Unconfirmed : 0U;
    if (m_records.recordLocal(context.trackedFlowAt(server->id), flags, *m_view, context.now) == nullptr)
        m_records.markUnrecorded(context.service.id(), context.now);
    if (context.mayBeNew())
        recordPlacement(context, *server);
    else
        ++server->counters->flowsPlacedElsewhere;
    return forwardTo(context, *server);
}

decision packet_engine::implementation::forwardKnown(packet_context& context, flow_entry& entry)
{
    const server_view* const server = context.service.findServer(entry.server);
    const bool isGone = server == nullptr || server->state == server_state::Removed;
    if (isGone && !context.isFirst())
        return drop(drop_reason::NoServer);
    if (!isGone && server->isDataCentreOut)
        return refuse(refusal_reason::DataCentreOut);
    if (context.isFirst() && (isGone || !mayForwardFirstPacket(entry, *server, context.now))) {
        // The original of this packet may have been forwarded, so a refusal could be wrong.
        return mayRepeatFirstPacket(entry, context.now) ? drop(drop_reason::AdmissionUncertain)
                                                        : refuse(refusal_reason::AddressPairReused);
    }
    if (context.isFirst()) {
        ++server->counters->retransmittedFirstPackets;
        entry.clear(flow_flag::Closed);
        // The packet may start another flow with the same address pair, of which no later packet has been
        // seen.
        entry.set(flow_flag::Unconfirmed);
    } else {
        recordLaterPacket(entry, *server->counters);
    }
    if (context.packet.isFinal || context.packet.isReset)
        entry.set(flow_flag::Closed);
    // Repeated first packets do not extend the time in which a draining server accepts them.
    if (!context.isFirst() || server->state == server_state::Active)
        entry.lastSeen = toTicks(context.now);
    return forwardTo(context, *server);
}

/// Whether a first packet that matches the entry may be a repetition of the flow's own first packet.
bool packet_engine::implementation::mayRepeatFirstPacket(const flow_entry& entry, timestamp now) const
{
    return entry.has(flow_flag::Unconfirmed | flow_flag::PlacedElsewhere)
        && toTicks(now) - entry.lastSeen <= toTicks(m_options.refusalWindow);
}

/// Whether a first packet that matches the entry may go to the entry's server. If it repeats the flow's own
/// first packet, a draining server accepts it as well.
bool packet_engine::implementation::mayForwardFirstPacket(
    const flow_entry& entry, const server_view& server, timestamp now) const
{
    if (server.acceptsNewFlows())
        return true;
    const bool isDead = server.isLimited() && server.kind == limit_kind::Dead;
    return mayRepeatFirstPacket(entry, now) && server.state == server_state::Draining
        && !server.isDataCentreOut && !isDead;
}

void packet_engine::implementation::recordLaterPacket(flow_entry& entry, server_counters& counters)
{
    constexpr std::uint32_t placementFlags
        = flow_flag::AwaitsSecondPacket | flow_flag::PlacedElsewhere | flow_flag::Unconfirmed;
    if (!entry.has(placementFlags))
        return;
    if (entry.has(flow_flag::AwaitsSecondPacket))
        ++counters.establishedFlows;
    else if (entry.has(flow_flag::PlacedElsewhere))
        ++counters.flowsPlacedElsewhere;
    entry.clear(placementFlags);
}

} // namespace shallotcove::core
