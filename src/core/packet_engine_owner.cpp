#include "packet_engine_implementation.hpp"

namespace shallotcove::core {

packet_engine::implementation::flow_role packet_engine::implementation::roleFor(const flow_hash& flow) const
{
    const host_ranks ranks = rankHosts(flow, m_view->hosts());
    const host_id self = m_view->snapshot().self;
    flow_role role;
    role.owner = ranks.owner ? &m_view->owner(*ranks.owner) : nullptr;
    role.backup = ranks.backup ? &m_view->owner(*ranks.backup) : nullptr;
    // A leaving host that sees no other host decides alone.
    role.isOwner = role.owner == nullptr || role.owner->id == self;
    role.isBackup = role.backup != nullptr && role.backup->id == self;
    return role;
}

decision packet_engine::implementation::handleRedirect(
    const packet_summary& packet, const redirect_header& header, timestamp now)
{
    detectPause(now);
    if (!isReady())
        return drop(drop_reason::NoSnapshot);
    service_view* const service = m_view->findService(packet.key.service, packet.key.protocol);
    if (service == nullptr)
        return drop(drop_reason::NoService);
    const flow_hash flow = hashFlow(packet.key, m_view->snapshot().flowHashSeed);
    if (service->id() != header.service || flow != header.flow)
        return drop(drop_reason::ServiceMismatch);
    if (header.hops == 0 || header.hops > maximumHops)
        return drop(drop_reason::HopLimit);
    packet_context context { packet, *service, flow, header, now };
    return route(context);
}

decision packet_engine::implementation::route(packet_context& context)
{
    const flow_role role = roleFor(context.flow);
    switch (context.header.stage) {
    case redirect_stage::Owner:
        return routeOwner(context, role);
    case redirect_stage::Replicate:
        return routeReplicate(context, role);
    case redirect_stage::Lookup:
        return routeLookup(context, role);
    }
    return drop(drop_reason::HopLimit);
}

decision packet_engine::implementation::routeOwner(packet_context& context, const flow_role& role)
{
    if (flow_entry* const entry = findEntry(context))
        return forwardTracked(context, *entry, role);
    if (!role.isOwner) {
        // A backup that gets here has no entry, so the owner does not have to look the flow up there again.
        // If the packet may start a flow, the owner still has to place it.
        const bool isLookup = role.isBackup && !context.mayBeNew();
        return redirect(context, role.owner, isLookup ? redirect_stage::Lookup : redirect_stage::Owner);
    }
    if (!isSynchronized(context.now)) {
        if (context.isFirst() || role.backup == nullptr)
            return drop(drop_reason::Unsynchronized);
        return redirect(context, role.backup, redirect_stage::Lookup);
    }
    if (context.mayBeNew())
        return placeNewFlow(context, role.backup);
    return role.backup != nullptr ? redirect(context, role.backup, redirect_stage::Lookup)
                                  : placeByBaseEpoch(context);
}

decision packet_engine::implementation::forwardTracked(
    packet_context& context, flow_entry& entry, const flow_role& role)
{
    const backend_server_id server = entry.server;
    const decision forwarded = forwardKnown(context, entry);
    if (forwarded.kind != decision_kind::Forward)
        return forwarded;
    const bool hasReplica = role.isOwner && role.backup != nullptr && context.header.hops < maximumHops;
    // The replica at the backup may have been lost together with the original first packet.
    if (hasReplica && context.isFirst())
        return redirect(context, role.backup, redirect_stage::Replicate, server);
    if (hasReplica && entry.has(flow_flag::Provisional))
        return redirect(context, role.backup, redirect_stage::Lookup, server);
    if (context.isRedirected()) {
        const bool isOpen = !context.isFirst() && !entry.has(flow_flag::Closed);
        if (isOpen && entry.has(flow_flag::Redirected))
            m_sender.queueHint(context.header.entryHost, context.trackedFlowAt(server), context.now);
        entry.set(flow_flag::Redirected);
    }
    return forwarded;
}

decision packet_engine::implementation::routeReplicate(packet_context& context, const flow_role& role)
{
    eraseStaleEntries(context);
    flow_entry* const entry = findEntry(context);
    const bool hasOtherServer
        = entry != nullptr && context.isFirst() && entry->server != context.header.server;
    // The first packet has reached no server yet, so owner and backup can still agree on one. The entry of
    // the backup wins, because other hosts may have the same. The backup sets itself as the entry host of the
    // redirect, which lets the owner tell it from Replicate redirects of other hosts.
    if (hasOtherServer && role.isBackup && context.header.hops < maximumHops) {
        context.header.entryHost = m_view->snapshot().self;
        return redirect(context, role.owner, redirect_stage::Replicate, entry->server);
    }
    const bool isFromBackup = role.backup != nullptr && context.header.entryHost == role.backup->id;
    if (hasOtherServer && role.isOwner && isFromBackup && entry->has(flow_flag::Unconfirmed))
        entry->server = context.header.server;
    if (entry != nullptr)
        return forwardTracked(context, *entry, { .isOwner = false, .isBackup = role.isBackup });
    const server_view* const server = context.service.findServer(context.header.server);
    if (server == nullptr || server->state == server_state::Removed)
        return drop(drop_reason::NoServer);
    if (server->isDataCentreOut)
        return context.mayBeNew() ? drop(drop_reason::DataCentreOut) : refuse(refusal_reason::DataCentreOut);
    const std::uint32_t flags = flow_flag::Redirected
        | (context.isFirst() ? flow_flag::PlacedElsewhere | flow_flag::Unconfirmed : 0U);
    const flow_entry* const recorded
        = m_records.recordTracked(context.trackedFlowAt(server->id), flags, *m_view, context.now);
    if (recorded == nullptr && context.isFirst())
        return drop(drop_reason::TableFull);
    const bool isOwnerOrBackup = role.isOwner || role.isBackup;
    if (!isOwnerOrBackup && context.header.hops < maximumHops)
        return redirect(context, role.owner, redirect_stage::Replicate, server->id);
    return forwardTo(context, *server);
}

decision packet_engine::implementation::routeLookup(packet_context& context, const flow_role& role)
{
    if (flow_entry* const entry = findEntry(context))
        return forwardTracked(context, *entry, { .isOwner = false, .isBackup = role.isBackup });
    if (context.header.server != backend_server_id {})
        return routeReplicate(context, role);
    if (!role.isOwner && !role.isBackup)
        return redirect(context, role.owner, redirect_stage::Lookup);
    if (!isSynchronized(context.now))
        return drop(drop_reason::Unsynchronized);
    if (context.isFirst())
        return drop(drop_reason::HopLimit);
    return context.service.isDatagram() ? placeNewFlow(context, nullptr) : placeByBaseEpoch(context);
}

decision packet_engine::implementation::redirect(const packet_context& context, const member* receiver,
    redirect_stage stage, backend_server_id server) const
{
    if (receiver == nullptr || context.header.hops >= maximumHops)
        return drop(drop_reason::HopLimit);
    decision result;
    result.kind = decision_kind::Redirect;
    result.redirectTo = receiver->id;
    result.redirectAddress = receiver->packetAddress;
    result.header = context.header;
    result.header.stage = stage;
    result.header.server = server;
    ++result.header.hops;
    return result;
}

/// Places a new flow by the active epoch and admission control. If there is a replica, the packet goes to the
/// server through it, so that both hosts have an entry before the server sees the flow.
decision packet_engine::implementation::placeNewFlow(packet_context& context, const member* replica)
{
    if (replica != nullptr && context.header.hops >= maximumHops)
        return drop(drop_reason::HopLimit);
    if (context.service.config().state == service_state::Removing)
        return drop(drop_reason::NoService);
    if (!admitClass(context))
        return refuse(refusal_reason::ClassLimit);
    context.service.choose(context.flow);
    const admission admitted = admit(context);
    if (admitted.server == nullptr)
        return admitted.denied;
    std::uint32_t flags = context.isFirst() ? flow_flag::AwaitsSecondPacket | flow_flag::Unconfirmed : 0U;
    if (replica != nullptr && !isOwnershipSettled(context.now))
        flags |= flow_flag::Provisional;
    if (context.isRedirected())
        flags |= flow_flag::Redirected;
    if (m_records.recordTracked(context.trackedFlowAt(admitted.server->id), flags, *m_view, context.now)
        == nullptr) {
        const bool isCertain = context.isFirst() && isOwnershipSettled(context.now);
        return isCertain ? refuse(refusal_reason::TableFull) : drop(drop_reason::TableFull);
    }
    recordPlacement(context, *admitted.server);
    return replica != nullptr ? redirect(context, replica, redirect_stage::Replicate, admitted.server->id)
                              : forwardTo(context, *admitted.server);
}

/// Forwards to the choice of the base epoch. A flow that no host tracks was placed while all live epochs
/// agreed, and the base epoch was one of them.
decision packet_engine::implementation::placeByBaseEpoch(packet_context& context)
{
    const flow_choice choice = context.service.choose(context.flow);
    if (choice.base == nullptr || choice.base->state == server_state::Removed)
        return drop(drop_reason::NoServer);
    if (choice.base->isDataCentreOut)
        return refuse(refusal_reason::DataCentreOut);
    if (choice.isAmbiguous)
        m_records.recordTracked(
            context.trackedFlowAt(choice.base->id), flow_flag::Redirected, *m_view, context.now);
    return forwardTo(context, *choice.base);
}

/// Erases stale entries with another server than the one that the sender chose for this first packet; they
/// belong to an earlier flow with the same address pair. A backup that missed the end of the earlier flow
/// would send the new flow to the old server.
void packet_engine::implementation::eraseStaleEntries(const packet_context& context)
{
    const auto isOfEarlierFlow = [&context](const flow_entry* entry) {
        return entry != nullptr && entry->server != context.header.server && isStale(*entry, context.now);
    };
    if (!context.isFirst())
        return;
    flow_entry* const tracked = m_records.findTracked(context.flow, context.service.id(), context.now);
    if (isOfEarlierFlow(tracked))
        m_records.eraseTracked(*tracked);
    flow_entry* const local = m_records.findLocal(context.flow, context.service.id(), context.now);
    if (isOfEarlierFlow(local))
        m_records.eraseLocal(*local);
}

/// Returns the entry of the flow, the tracked one if there are two. Erases entries that a first packet may
/// replace.
flow_entry* packet_engine::implementation::findEntry(const packet_context& context)
{
    flow_entry* const tracked = m_records.findTracked(context.flow, context.service.id(), context.now);
    if (tracked != nullptr && !isReplaceable(context, *tracked))
        return tracked;
    if (tracked != nullptr)
        m_records.eraseTracked(*tracked);
    flow_entry* const local = m_records.findLocal(context.flow, context.service.id(), context.now);
    if (local == nullptr || !isReplaceable(context, *local))
        return local;
    m_records.eraseLocal(*local);
    return nullptr;
}

} // namespace shallotcove::core
