#include <algorithm>

#include "packet_engine_implementation.hpp"

namespace shallotcove::core {

bool packet_engine::implementation::admitClass(packet_context& context)
{
    class_view& callerClass = context.service.callerClassOf(context.packet.key.caller.address);
    // A datagram without an entry may belong to an open flow whose earlier packets entered at other hosts; a
    // class limit would interrupt that flow.
    if (context.isFirst() && !callerClass.isUnlimited && !callerClass.share.take(1, context.now)) {
        ++callerClass.counters->refused;
        return false;
    }
    ++callerClass.counters->newFlows;
    return true;
}

/// Returns the first server in rendezvous order that may take a new flow. Requires a preceding choose() for
/// the flow.
packet_engine::implementation::admission packet_engine::implementation::admit(const packet_context& context)
{
    service_view& service = context.service;
    timestamp latestChange = m_ownersChangedAt;
    bool isLimited {};
    for (server_view* server = service.nextChoice(nullptr); server != nullptr;
         server = service.nextChoice(server)) {
        if (server->state == server_state::Removed)
            continue;
        if (server->isDataCentreOut) {
            // The next epoch leaves out this data centre and will place the flow. Until that epoch is active,
            // other hosts would place the flow differently.
            if (!isLimited)
                return { nullptr, drop(drop_reason::DataCentreOut) };
            continue;
        }
        if (!server->isLimited() || server->share.take(1, context.now))
            return { server, {} };
        if (server->stage == limit_stage::Pending)
            return { nullptr, drop(drop_reason::LimitPending) };
        latestChange = std::max(latestChange, server->limitedSince);
        isLimited = true;
    }
    if (!isLimited)
        return { nullptr, drop(drop_reason::NoServer) };
    // Another owner, or an owner that did not yet know the limit, may have placed an earlier copy of this
    // packet.
    const bool isCertain = context.now - latestChange >= m_options.refusalWindow;
    if (!isCertain || !context.isFirst())
        return { nullptr, drop(drop_reason::AdmissionUncertain) };
    class_view& callerClass = service.callerClassOf(context.packet.key.caller.address);
    ++callerClass.counters->refused;
    return { nullptr, refuse(refusal_reason::NoCapacity) };
}

bool packet_engine::implementation::isOwnershipSettled(timestamp now) const
{
    return now - m_ownersChangedAt >= m_options.refusalWindow;
}

} // namespace shallotcove::core
