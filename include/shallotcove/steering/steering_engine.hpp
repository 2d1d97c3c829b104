#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <pcg_random.hpp>

#include <shallotcove/steering/admission_policy.hpp>
#include <shallotcove/steering/caller_packet.hpp>
#include <shallotcove/steering/cold_admission.hpp>
#include <shallotcove/steering/data_centre_evidence.hpp>
#include <shallotcove/steering/flow_admission.hpp>
#include <shallotcove/steering/held_requests.hpp>
#include <shallotcove/steering/host_position.hpp>
#include <shallotcove/steering/load_report.hpp>
#include <shallotcove/steering/neighbour_history.hpp>
#include <shallotcove/steering/neighbour_loads.hpp>
#include <shallotcove/steering/opening_timer.hpp>
#include <shallotcove/steering/packet_decision.hpp>
#include <shallotcove/steering/partial_reports.hpp>
#include <shallotcove/steering/placement.hpp>
#include <shallotcove/steering/released_flow.hpp>
#include <shallotcove/steering/request_rate.hpp>
#include <shallotcove/steering/room_state.hpp>
#include <shallotcove/steering/route.hpp>
#include <shallotcove/steering/server_directory.hpp>
#include <shallotcove/steering/service_room.hpp>
#include <shallotcove/steering/service_rules.hpp>
#include <shallotcove/steering/steering_event.hpp>
#include <shallotcove/steering/steering_options.hpp>
#include <shallotcove/steering/tracked_flows.hpp>
#include <shallotcove/steering/waiting_flows.hpp>

namespace shallotcove::steering {

struct config_change;
struct routing_config;

/// Decision on an opening packet that was handled earlier: its server did not answer in time, or the flow was
/// waiting.
struct delayed_offer {
    caller_packet opening;
    packet_decision decision;
};

/// Decides on the packets of callers in deployments where packets carry the tag of their backend server. Any
/// host can steer every packet but the first of a flow by its tag alone, so hosts need no agreement. Uses no
/// sockets, threads, clocks or logs: the result depends only on the calls, their times and the seed.
class steering_engine {
public:
    explicit steering_engine(steering_options);

    // Commands: configuration, servers and hosts.

    void applyConfig(std::shared_ptr<const routing_config>);
    /// Applies a configuration by its difference from the one in effect, without a look at all its routes.
    void applyConfig(std::shared_ptr<const routing_config>, const config_change&);
    void applyServer(const server_entry&, core::timestamp now);
    void removeServer(std::string_view serverId, bool isUncertain, core::timestamp now);
    void setDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now);
    /// Whether the configuration and the list of servers are complete enough to place flows, and to refuse
    /// flows that have no route.
    void setViewComplete(bool isViewComplete) { m_isViewComplete = isViewComplete; }
    /// If the report is partial, the loads at servers that it does not list are unchanged.
    void applyNeighbourLoads(
        std::uint32_t hostAddress, const load_report&, core::timestamp now, bool isPartial = false);
    /// Applies the open flows at each server that all hosts of another data centre placed.
    void applyRemoteLoads(const std::string& dataCentre, const load_report&, core::timestamp now);
    /// Sets the addresses of all known hosts, including this one, which share the limits of cold servers, and
    /// how many other hosts of this data centre place flows now.
    void setHosts(std::vector<std::uint32_t> hosts, std::uint32_t self, std::size_t neighbours);
    /// Sets the position of this host among those of its data centre. Hosts rank equal servers in an order
    /// that starts at a different server for each host.
    void setPosition(const host_position& position) { m_hostPosition = position; }
    /// Sets how often neighbours report their loads.
    void setLoadReportInterval(core::duration);
    /// Discards the evidence against another data centre that is known to be reachable by other means than
    /// flows.
    void clearDataCentreEvidence(const std::string& dataCentre);

    // Commands: traffic.

    packet_decision handlePacket(const caller_packet&, core::timestamp now);
    /// Handles a pause of the host process. Flows that were opening have continued through other hosts, so
    /// their silence is no evidence against servers.
    void handlePause(core::timestamp now);
    /// Does the timed work. Returns decisions on opening packets that are offered to another server now, and
    /// on postponed refusals.
    std::vector<delayed_offer> advance(core::timestamp now);
    /// Places the waiting flows that get a server now, and refuses those that cannot be served. Returns the
    /// decisions on both.
    std::vector<delayed_offer> placeWaitingFlows(core::timestamp now);
    /// Sets how long requests on open flows are held at most. With 0, held packets are released by the next
    /// call of releaseRequests().
    void setRequestHold(core::duration holdTime) { m_heldRequests.setHoldTime(holdTime); }
    /// Releases all held packets if the packet has to queue behind some of them and would exceed the bounds.
    /// To be called before handlePacket() for the same packet, so that the held ones are forwarded first.
    std::vector<released_flow> makeRoomFor(const caller_packet&, core::timestamp now);
    /// Releases the held requests whose server has room, the most important first, and those whose time is
    /// over.
    std::vector<released_flow> releaseRequests(core::timestamp now);
    /// Returns the open flows that this host placed at each server, to be reported to the neighbours now.
    load_report takeLoads();
    std::vector<steering_event> takeEvents();

    // Queries.

    /// Open flows at each server that the hosts of this data centre placed, as far as they reported them.
    load_report dataCentreLoads() const;
    /// Room of a service by data centre, at most some 50 ms old. Empty if the service has no long flows.
    const std::vector<service_room>& roomOf(std::string_view service) const;
    /// Room of all services with long flows, by name of the service.
    const std::map<std::string, std::vector<service_room>, std::less<>>& rooms() const { return m_rooms; }
    /// Whether at least a quarter of the slots in this data centre was in use at the last call of
    /// takeLoads(), as far as neighbours reported, or the data centre was out of service.
    bool isBusy() const { return m_isBusy; }
    /// When advance() has to be called next; at most one second from now.
    core::timestamp nextDeadline(core::timestamp now) const;
    bool hasWaitingFlows() const { return m_waitingCount > 0; }
    /// Whether callers wait for something that only this host can do: place the flow, offer it again, refuse
    /// it or forward its held packets.
    bool hasPendingDecisions() const
    {
        return m_waitingCount > 0 || !m_deadlines.empty() || !m_heldRequests.isEmpty();
    }
    /// Share, from 0 to 1, of the latest new flows whose service has servers, but none that this host can
    /// reach.
    double unreachableShare(core::timestamp now) const;
    /// Data centres with servers that may take new flows.
    std::set<std::string> servingDataCentres() const;
    std::size_t flowCount() const { return m_trackedFlows.size(); }
    const server_directory& servers() const { return m_servers; }

private:
    struct offer_deadline {
        core::timestamp at;
        flow_address flow;
        /// Time of the offer, to detect that the flow has been offered again since.
        core::timestamp offeredAt;

        friend bool operator>(const offer_deadline& left, const offer_deadline& right)
        {
            return left.at > right.at;
        }
    };

    /// New flows of a service in the last one to two seconds.
    struct service_traffic {
        core::timestamp windowStart;
        double recentFlows {};
    };

    /// Whether a packet may be held, or is being released.
    enum class hold_permission : std::uint8_t { MayHold, Release };

    packet_decision handle(const caller_packet&, hold_permission, core::timestamp now);
    packet_decision handleOpening(const caller_packet&, core::timestamp now);
    packet_decision handleHeldFlow(const caller_packet&);
    /// Whether the flow has held packets that this packet must not overtake.
    bool isBehindHeldPackets(const caller_packet&) const;
    packet_decision handleTrackedFlow(
        const caller_packet&, flow_record&, hold_permission, core::timestamp now);
    packet_decision handleUntrackedFlow(const caller_packet&, core::timestamp now);
    packet_decision forwardByTag(const caller_packet&, core::timestamp now) const;
    static bool belongsTo(const caller_packet&, const flow_record&);
    /// Handles a packet whose numbers show that it belongs to another flow between the same addresses than
    /// the record. A later flow takes the place of the recorded one.
    packet_decision handleOtherFlow(const caller_packet&, const flow_record&, core::timestamp now);
    packet_decision offerAgain(flow_record&, const route&, core::timestamp now);
    packet_decision enqueue(const caller_packet&, const route&, const std::string& service, const placement&,
        core::timestamp now);
    /// Forwards a flow to the server that was chosen for it. Without one, removes its record and refuses it.
    packet_decision applyPlacement(const placement&, const caller_packet&, const route&, core::timestamp now);
    placement choosePlacement(
        const std::string& service, const flow_record*, const route&, flow_admission, core::timestamp now);
    /// The limit for a new flow whose first packet was sent at the given time.
    flow_admission admissionOf(const std::string& service, const route&, core::timestamp sentAt,
        bool isReservedPlace, core::timestamp now);
    /// Records a rejection if the caller ends a flow soon after a request that has no answer.
    void checkRejection(const server_record&, const flow_record&, core::timestamp now);
    /// Adds an event for each service whose limit in effect has changed.
    void refuseWaiting(
        const std::vector<waiting_flow>&, std::vector<delayed_offer>& offers, core::timestamp now);
    void reportFlowLimits(core::timestamp now);
    void recordWork(const server_record&, const flow_record&, core::timestamp now);
    waiting_flows& waitingFlowsOf(const std::string& service);
    void removeFlow(const flow_address&);
    void stopWaiting(const flow_address&);
    void addToLoad(flow_record&, server_record&);
    /// Refuses a flow at once if no other host can have forwarded it, otherwise postpones the refusal.
    packet_decision refuse(const caller_packet&, packet_reason, const placement&, core::timestamp now);
    packet_decision refuseNow(const caller_packet&, packet_reason, const placement&, core::timestamp now);
    /// Postpones a refusal until a packet of the caller would have shown that another host opened the flow.
    packet_decision decline(flow_record, packet_reason, core::timestamp now);
    /// Ends a flow that waited at this host or whose refusal was postponed. Refuses it, unless a
    /// retransmission that was due did not arrive here: its caller then uses another host.
    packet_decision refuseHeld(const flow_record&, packet_reason, core::timestamp now);
    packet_decision forwardTo(const server_record&, core::timestamp now) const;
    void markOpen(const caller_packet&, flow_record&, core::timestamp now);
    void markEnded(flow_record&, core::timestamp now, steering_event_kind);
    /// Counts an open flow at its server, until it ends.
    void addToEstablished(flow_record&);
    void removeFromEstablished(flow_record&);
    /// Removes all flows of a server that restarted, and so lost them, from its established flows.
    void forgetEstablishedFlows(server_tag);
    /// Removes the flows of servers whose tag now belongs to another one.
    void removeFlowsOfReassignedTags();
    /// Adds an event for a server that gets no flows because another one holds its tag.
    void reportSharedTag(const server_entry&, core::timestamp now);
    /// Removes servers that left long ago, and with them the count of their established flows.
    void expireServers(core::timestamp now);
    void measureRequestRates(core::timestamp now);
    /// Cost of one established flow per slot for placement_context; 0 if the service has no long flows.
    double establishedFlowCost(const std::string& service, core::timestamp now) const;
    /// Records the answer that the packet acknowledges. Returns whether it begins a request.
    bool trackAnswer(const caller_packet&, flow_record&, core::timestamp now);
    /// Tracks a request on an open flow by the payload that its caller sends.
    void trackRequest(const caller_packet&, flow_record&, core::timestamp now);
    /// Whether the packet, which begins a request on an open flow, is to be held: only if the flow already
    /// had a request, as the first one was admitted with the flow.
    bool mustHold(const caller_packet&, const flow_record&, const route&, core::timestamp now) const;
    /// Holds the packet if it must be held and the bounds permit it. Without them, flushes all held packets.
    bool tryHold(const caller_packet&, const flow_record&, core::timestamp now);
    /// Limit of the flows per slot with which a server still has room for a request on an open flow.
    double requestLimit(const route&, const server_record&, core::timestamp now) const;
    /// Whether the server has room for a request on the flow, or is gone.
    bool hasRoom(const flow_address&, server_tag, core::timestamp now) const;
    std::vector<packet_decision> release(const held_flow&, core::timestamp now);
    void recordAnswer(const caller_packet&, flow_record&, core::timestamp now);
    void addToLoadAgain(flow_record&);
    void removeFromLoad(flow_record&);
    /// Removes a flow from the load that its caller closed through another host or does not use.
    void removeInactiveFromLoad(flow_record&, core::timestamp now);
    /// Records a time-out against the server if the answer to a request is overdue.
    void checkAnswer(flow_record&, core::timestamp now);
    void recordUnanswered(server_tag, core::timestamp now);
    void recordAnswered(server_record&, core::timestamp now);
    void countTraffic(const std::string& service, core::timestamp now);
    double flowsAtOnce(const std::string& service, core::timestamp now) const;
    /// Whether callers of the service sent several requests on one flow recently. Such requests need no
    /// admission and use capacity that new flows compete for.
    bool hasLongFlows(const std::string& service, core::timestamp now) const;
    void recordLongFlowRequest(server_tag, core::timestamp now);
    void applyFullReport(std::uint32_t hostAddress, const load_report&, core::timestamp now);
    /// Expected work of a request of the flow, with which its answer time is compared.
    core::duration expectedWork(const flow_record&, const std::string& service, core::timestamp now);
    void recordSpeed(server_record&, const flow_record&, core::timestamp now);
    /// Renews the estimates and the room of services with long flows if they are due.
    void refreshCapacity(core::timestamp now);
    void refreshCapacityOf(const std::string& service, core::timestamp now);
    void addRoomEvent(room_change, const std::string& service, const service_room&, core::timestamp now);
    bool isUnreachable(const std::string& service) const;
    const route* findRoute(const flow_address&) const;
    const std::string* chooseService(const route&);
    placement_context placementContextFor(const std::string& service, core::timestamp now);
    void addEvent(steering_event);
    steering_event eventOf(
        steering_event_kind, const caller_packet&, const server_record*, core::timestamp now) const;

    steering_options m_options;
    pcg32 m_random;
    bool m_isViewComplete {};
    host_position m_hostPosition;
    bool m_isBusy {};
    bool m_areLoadsStale {};
    std::shared_ptr<const routing_config> m_config;
    std::map<route_address, std::shared_ptr<const route>> m_routes;
    std::map<std::string, service_rules, std::less<>> m_serviceRules;
    std::map<std::string, core::timestamp> m_dataCentreOutSince;
    std::set<std::string> m_dataCentresOut;
    server_directory m_servers;
    std::map<std::string, data_centre_evidence> m_dataCentreEvidence;
    tracked_flows m_trackedFlows;
    neighbour_loads<std::uint32_t> m_neighbourLoads;
    neighbour_loads<std::string> m_remoteLoads;
    neighbour_history m_neighbourHistory;
    partial_reports m_partialReports;
    core::timestamp m_nextCapacityRefreshAt;
    std::map<std::string, std::vector<service_room>, std::less<>> m_rooms;
    /// By service and data centre.
    std::map<std::string, std::map<std::string, room_state>> m_roomStates;
    cold_admission m_coldAdmission;
    admission_policy m_admissionPolicy;
    std::map<std::string, waiting_flows> m_waitingFlows;
    std::size_t m_waitingCount {};
    std::size_t m_neighbourCount {};
    std::size_t m_hostCount { 1 };
    std::optional<core::timestamp> m_firstPacketAt;
    opening_timer m_openingTimer;
    std::priority_queue<offer_deadline, std::vector<offer_deadline>, std::greater<>> m_deadlines;
    std::map<std::string, service_traffic> m_traffic;
    /// Time of the last request on a flow that already had one, by service.
    std::map<std::string, core::timestamp> m_lastLongFlowRequest;
    /// Learned for services with long flows.
    std::map<std::string, request_rate> m_requestRates;
    held_requests m_heldRequests;
    /// Limit last reported, in flows per slot, by service with long flows.
    std::map<std::string, double> m_reportedLimits;
    core::timestamp m_nextSweepAt;
    std::vector<steering_event> m_events;
};

} // namespace shallotcove::steering
