#pragma once

#include <memory>
#include <vector>

#include <shallotcove/core/packet_engine.hpp>

#include "flow_records.hpp"
#include "flow_scan.hpp"
#include "recent_flows.hpp"
#include "routing_view.hpp"
#include "track_sender.hpp"

namespace shallotcove::core {

/// Largest number of redirects of one packet.
inline constexpr std::uint8_t maximumHops = 3;

class packet_engine::implementation {
public:
    explicit implementation(const packet_engine_options&);

    void applySnapshot(std::shared_ptr<const routing_snapshot>, timestamp now);
    decision handlePacket(const packet_summary&, const socket_address& fabricAddress, timestamp now);
    decision handleRedirect(const packet_summary&, const redirect_header&, timestamp now);
    void handleTrackBatch(const track_batch&, timestamp now);
    void handleHint(const hint&, timestamp now);
    packet_engine_output advance(timestamp now);

    decision dropUncertainRefusal(const decision&, timestamp now) const;
    std::size_t localFlowCount() const { return m_records.localSize(); }
    std::size_t trackedFlowCount() const { return m_records.trackedSize(); }

private:
    /// A packet that is being decided on, with its service and flow.
    struct packet_context {
        const packet_summary& packet;
        service_view& service;
        flow_hash flow;
        /// The header that the packet was received with. On the entry host, the header that a redirect starts
        /// from, with no hops.
        redirect_header header;
        timestamp now;

        bool isFirst() const { return packet.isFirst; }
        bool isRedirected() const { return header.hops > 0; }
        /// Whether the packet may be the first one of its flow.
        bool mayBeNew() const { return packet.isFirst || service.isDatagram(); }
        tracked_flow trackedFlowAt(backend_server_id server) const { return { flow, service.id(), server }; }
    };
    /// The owner and the backup of a flow, and whether this host is one of them. Pointers are null if there
    /// is no such host.
    struct flow_role {
        bool isOwner {};
        bool isBackup {};
        const member* owner {};
        const member* backup {};
    };
    struct admission {
        server_view* server {};
        decision denied;
    };

    // packet_engine_entry.cpp: packets from the fabric.
    decision routeUnknown(packet_context&);
    bool isReplaceable(const packet_context&, const flow_entry&) const;
    decision forwardLocal(packet_context&, flow_entry&);
    decision confirmWithOwner(packet_context&, flow_entry&);
    decision placeUnambiguous(packet_context&, const flow_choice&);
    decision forwardKnown(packet_context&, flow_entry&);
    void recordLaterPacket(flow_entry&, server_counters&);
    bool mayRepeatFirstPacket(const flow_entry&, timestamp now) const;
    bool mayForwardFirstPacket(const flow_entry&, const server_view&, timestamp now) const;

    // packet_engine_owner.cpp: redirected packets, and packets whose flow its owner and backup decide on.
    flow_role roleFor(const flow_hash&) const;
    decision route(packet_context&);
    decision routeOwner(packet_context&, const flow_role&);
    decision routeReplicate(packet_context&, const flow_role&);
    decision routeLookup(packet_context&, const flow_role&);
    decision forwardTracked(packet_context&, flow_entry&, const flow_role&);
    decision forwardTo(const packet_context&, const server_view&) const;
    decision redirect(
        const packet_context&, const member*, redirect_stage, backend_server_id server = {}) const;
    decision placeNewFlow(packet_context&, const member* replica);
    decision placeByBaseEpoch(packet_context&);
    void eraseStaleEntries(const packet_context&);
    flow_entry* findEntry(const packet_context&);

    // packet_engine_admission.cpp: limits of caller classes and servers.
    bool admitClass(packet_context&);
    admission admit(const packet_context&);
    bool isOwnershipSettled(timestamp now) const;

    // packet_engine.cpp: pauses, synchronization and recently placed flows.
    void detectPause(timestamp now);
    bool isReady() const;
    bool isSynchronized(timestamp now) const;
    void recordPlacement(const packet_context&, server_view&);
    void countSilentFlows(timestamp now);
    void pushAmbiguousFlows(timestamp now);

    packet_engine_options m_options;
    flow_records m_records;
    recent_flows m_recent;
    track_sender m_sender;
    flow_scan m_scan;
    std::unique_ptr<routing_view> m_view;
    timestamp m_ownersChangedAt;
    timestamp m_lastCallTime;
    bool m_wasCalled {};
    /// Until this time the view may still be one from before a pause of the host.
    timestamp m_viewUncertainUntil;
    timestamp m_nextReport;
    /// Positions in m_recent.
    std::size_t m_silenceCheckPosition {};
    std::size_t m_pushPosition {};
};

/// Whether a flow has had no packet here for so long that its caller may have closed it and used the address
/// pair again.
bool isStale(const flow_entry&, timestamp now);

/// Decisions without a receiver.
decision drop(drop_reason);
decision refuse(refusal_reason);

} // namespace shallotcove::core
