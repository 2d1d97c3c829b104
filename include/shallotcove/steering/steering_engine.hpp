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

#include <shallotcove/steering/caller_packet.hpp>
#include <shallotcove/steering/cold_admission.hpp>
#include <shallotcove/steering/data_centre_evidence.hpp>
#include <shallotcove/steering/host_position.hpp>
#include <shallotcove/steering/load_report.hpp>
#include <shallotcove/steering/neighbour_loads.hpp>
#include <shallotcove/steering/opening_timer.hpp>
#include <shallotcove/steering/packet_decision.hpp>
#include <shallotcove/steering/placement.hpp>
#include <shallotcove/steering/route.hpp>
#include <shallotcove/steering/server_directory.hpp>
#include <shallotcove/steering/steering_note.hpp>
#include <shallotcove/steering/steering_options.hpp>
#include <shallotcove/steering/tracked_flows.hpp>
#include <shallotcove/steering/waiting_flows.hpp>

namespace shallotcove::steering {

struct routing_config;
struct service_rules;

/// What happens to an opening packet that came before: the former server did not answer, or the flow waited.
struct delayed_offer {
    caller_packet opening;
    packet_decision decision;
};

/// Decides on the packets of callers where packets carry the tag of their backend server. Any host can steer
/// any packet but the first of a flow by the tag alone; hosts agree on nothing. No sockets, threads, clocks
/// or logs: the result depends on the calls, their times and the seed.
class steering_engine {
public:
    explicit steering_engine(steering_options);

    // Commands: knowledge.

    void applyConfig(std::shared_ptr<const routing_config>);
    void applyServer(const server_entry&, core::timestamp now);
    void removeServer(std::string_view serverId, bool isDoubtful, core::timestamp now);
    void setDataCentreOut(const std::string& dataCentre, bool isOut, core::timestamp now);
    /// Whether configuration and servers are known well enough to serve, and to tell callers of missing
    /// routes.
    void setInformed(bool isSynchronized) { m_isSynchronized = isSynchronized; }
    void applyNeighbourLoads(std::uint32_t hostAddress, const load_report&, core::timestamp now);
    /// What all hosts of another data centre place.
    void applyFarLoads(const std::string& dataCentre, const load_report&, core::timestamp now);
    /// Addresses of all hosts known, this one included; they share the limits of cold servers. So many others
    /// of this data centre place flows now.
    void setHosts(std::vector<std::uint32_t> hosts, std::uint32_t self, std::size_t neighbours);
    /// Where this host stands among those of its data centre: hosts begin at different servers.
    void setPosition(const host_position& position) { m_hostPosition = position; }
    /// Neighbours tell their loads this often.
    void setLoadInterval(core::duration);
    /// Another data centre can be reached again, by other evidence than flows.
    void trustDataCentre(const std::string& dataCentre);

    // Commands: traffic.

    packet_decision handlePacket(const caller_packet&, core::timestamp now);
    /// The host stood still. Flows that were about to open went on through other hosts, so their silence says
    /// nothing about servers.
    void handlePause(core::timestamp now);
    /// Timed work; gives the opening packets that go to another server now.
    std::vector<delayed_offer> advance(core::timestamp now);
    /// Gives the flows that waited and get a server now, or are refused.
    std::vector<delayed_offer> startWaiting(core::timestamp now);
    /// Open flows at each server, to be told to the neighbours now.
    load_report takeLoads();
    std::vector<steering_note> takeNotes();

    // Queries.

    /// Open flows at each server that the hosts of this data centre placed, as far as they told.
    load_report placeLoads() const;
    /// Whether a good part of the slots nearby was in use when takeLoads() was called, as far as neighbours
    /// told.
    bool isBusy() const { return m_isBusy; }
    /// When advance() has something to do next; at most a second away.
    core::timestamp nextDeadline(core::timestamp now) const;
    bool hasWaiting() const { return m_waitingCount > 0; }
    /// Whether callers wait for something that only this host can do: a server, another offer or a refusal.
    bool hasUndecided() const { return m_waitingCount > 0 || !m_deadlines.empty(); }
    /// Share of the latest new flows, 0 to 1, that have servers which this host cannot reach.
    double unreachableShare(core::timestamp now) const;
    /// Data centres of the servers that may take new flows.
    std::set<std::string> servingDataCentres() const;
    std::size_t flowCount() const { return m_trackedFlows.size(); }
    const server_directory& servers() const { return m_servers; }

private:
    struct offer_deadline {
        core::timestamp at;
        flow_address flow;
        /// Tells whether the flow has been offered again since.
        core::timestamp offeredAt;

        friend bool operator>(const offer_deadline& left, const offer_deadline& right)
        {
            return left.at > right.at;
        }
    };

    /// New flows of a service in the last second or two.
    struct service_traffic {
        core::timestamp windowStart;
        double recentFlows {};
    };

    packet_decision handleOpening(const caller_packet&, core::timestamp now);
    packet_decision handleTrackedFlow(const caller_packet&, flow_record&, core::timestamp now);
    packet_decision handleUntrackedFlow(const caller_packet&, core::timestamp now);
    packet_decision forwardByTag(const caller_packet&, core::timestamp now) const;
    static bool belongsTo(const caller_packet&, const flow_record&);
    packet_decision offerAgain(flow_record&, const route&, core::timestamp now);
    packet_decision enqueue(const caller_packet&, const route&, const std::string& service, const placement&,
        core::timestamp now);
    /// Places a flow; without a server, the record is erased and the flow refused.
    packet_decision applyPlacement(const placement&, const caller_packet&, const route&, core::timestamp now);
    placement choosePlacement(
        const std::string& service, const flow_record*, const route&, admission_limit, core::timestamp now);
    waiting_flows& waitingFlowsOf(const std::string& service);
    void removeFlow(const flow_address&);
    void stopWaiting(const flow_address&);
    void addToLoad(flow_record&, server_record&);
    /// Refuses a flow at once if no other host can have forwarded it, else after a moment.
    packet_decision refuse(const caller_packet&, packet_reason, const placement&, core::timestamp now);
    packet_decision refuseNow(const caller_packet&, packet_reason, const placement&, core::timestamp now);
    /// Holds a refusal back until the caller would have shown that another host opened the flow.
    packet_decision decline(flow_record, packet_reason, core::timestamp now);
    /// Ends a flow that was held here: refuses it, unless a copy that was due went elsewhere.
    packet_decision refuseHeld(const flow_record&, packet_reason, core::timestamp now);
    packet_decision forwardTo(const server_record&, core::timestamp now) const;
    void markOpen(const caller_packet&, flow_record&, core::timestamp now);
    void markEnded(flow_record&, core::timestamp now, note_kind);
    /// Follows the requests on an open flow by what its caller sends and has received.
    void trackRequest(const caller_packet&, flow_record&, core::timestamp now);
    void recordAnswer(const caller_packet&, flow_record&, core::timestamp now);
    void addToLoadAgain(flow_record&);
    void removeFromLoad(flow_record&);
    /// Takes a flow out of the load whose caller closed it through another host, or does not use it.
    void releaseInactive(flow_record&, core::timestamp now);
    /// Notices that the answer to a request is overdue.
    void checkAnswer(flow_record&, core::timestamp now);
    void recordUnanswered(server_tag, core::timestamp now);
    void recordAnswered(server_record&, core::timestamp now);
    void countTraffic(const std::string& service, core::timestamp now);
    double flowsAtOnce(const std::string& service) const;
    bool isUnreachable(const std::string& service) const;
    const route* findRoute(const flow_address&) const;
    const std::string* chooseService(const route&);
    placement_context placementContextFor(const std::string& service, core::timestamp now);
    void addNote(steering_note);
    steering_note noteOf(note_kind, const caller_packet&, const server_record*, core::timestamp now) const;

    steering_options m_options;
    pcg32 m_random;
    bool m_isSynchronized {};
    host_position m_hostPosition;
    bool m_isBusy {};
    bool m_areLoadsStale {};
    std::shared_ptr<const routing_config> m_config;
    std::map<route_address, const route*> m_routes;
    std::map<std::string, const service_rules*, std::less<>> m_serviceRules;
    std::map<std::string, core::timestamp> m_dataCentreOutSince;
    std::set<std::string> m_dataCentresOut;
    server_directory m_servers;
    std::map<std::string, data_centre_evidence> m_dataCentreEvidence;
    tracked_flows m_trackedFlows;
    neighbour_loads<std::uint32_t> m_neighbourLoads;
    neighbour_loads<std::string> m_remoteLoads;
    cold_admission m_coldAdmission;
    std::map<std::string, waiting_flows> m_waitingFlows;
    std::size_t m_waitingCount {};
    std::size_t m_neighbourCount {};
    std::size_t m_hostCount { 1 };
    std::optional<core::timestamp> m_firstPacketAt;
    opening_timer m_openingTimer;
    std::priority_queue<offer_deadline, std::vector<offer_deadline>, std::greater<>> m_deadlines;
    std::map<std::string, service_traffic> m_traffic;
    core::timestamp m_nextSweepAt;
    std::vector<steering_note> m_notes;
};

} // namespace shallotcove::steering
