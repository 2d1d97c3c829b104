#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

/// Limits and time-outs of the steering engine. The defaults suit callers with delays of up to 20 ms.
struct steering_options {
    std::string dataCentre;
    /// Region of each data centre.
    std::map<std::string, std::string> regions;
    /// Seeds the choice among the services of a split route.
    std::uint64_t randomSeed { 1 };

    /// Bounds of the time-out after which an opening packet that the caller has not acknowledged is offered
    /// to another server. Within them the time-out follows the measured times, like TCP's retransmission
    /// time-out; the initial value applies before the first measurement.
    core::duration minimumOfferTimeout { std::chrono::milliseconds { 25 } };
    core::duration maximumOfferTimeout { std::chrono::milliseconds { 150 } };
    core::duration initialOfferTimeout { std::chrono::milliseconds { 45 } };
    /// A flow counts against its server only if its caller sent a packet at most this long before the offer.
    /// Routers move callers to other hosts every half a second while hosts start and stop, so that an older
    /// caller may no longer use this host.
    core::duration callerActivityWindow { std::chrono::milliseconds { 20 } };
    /// Maximum number of servers that one flow is offered to. The caller itself sends three copies of the
    /// opening packet.
    std::uint32_t attemptsPerFlow { 4 };

    /// Unanswered opening packets in a row that make a server suspect. A single one can be a lost datagram.
    std::uint32_t unansweredUntilSuspect { 2 };
    /// How long a suspect server gets no new flows; doubles with each failed trial, up to the maximum.
    core::duration minimumSuspicionTime { std::chrono::milliseconds { 1000 } };
    core::duration maximumSuspicionTime { std::chrono::milliseconds { 4000 } };
    /// Share and minimum number of unresponsive servers of a data centre, with no answer of any in between,
    /// that make the data centre suspect.
    double unresponsiveShareUntilSuspect { 0.5 };
    std::size_t unresponsiveServersUntilSuspect { 2 };
    /// When callers retransmit an opening packet, counted from the first transmission.
    std::array<core::duration, 2> openingRetransmissions { std::chrono::milliseconds { 200 },
        std::chrono::milliseconds { 600 } };
    /// Variation of the network delay, by which retransmissions may arrive early or late.
    core::duration retransmissionMargin { std::chrono::milliseconds { 50 } };
    /// How long a refusal is postponed. If the flow opened through another host, a packet of its caller
    /// arrives here within this time, a round trip to the farthest server.
    core::duration refusalConfirmation { std::chrono::milliseconds { 30 } };
    /// Callers give up a flow that has not opened this long after its first packet; they do not acknowledge
    /// an answer to a later one.
    core::duration openingTimeout { std::chrono::milliseconds { 1400 } };

    /// A server whose entry disappeared while the store was failing stays in use this long. Entries that
    /// expired meanwhile are restored within two seconds of the store's recovery.
    core::duration uncertainRemovalGrace { std::chrono::milliseconds { 2000 } };
    /// How long servers that left are remembered: the longest lifetime of a flow, with a margin.
    core::duration departedServerRetention { std::chrono::seconds { 90 } };
    /// Packets of open flows are forwarded into a data centre for this long after it was taken out of
    /// service.
    core::duration evacuationGrace { std::chrono::milliseconds { 4000 } };

    /// Maximum number of tracked flows. Packets of further flows are steered by their tag alone.
    std::size_t maximumTrackedFlows { 16384 };
    /// How long an ended flow is tracked, so that late retransmissions of its first packet are recognised.
    core::duration endedFlowRetention { std::chrono::milliseconds { 2000 } };
    /// Time without packets after which a flow is removed if its route has no timeout. Also the time that its
    /// caller is assumed to wait for an answer.
    core::duration defaultIdleTimeout { std::chrono::seconds { 8 } };

    /// Cost of a server in another data centre, in units of waiting for one request: traffic between data
    /// centres is charged.
    double otherDataCentreCost { 0.75 };
    /// Cost of a cold server, in units of waiting for one request.
    double coldServerCost { 0.3 };
    /// Flows that a server gets at the same time for each of its slots. Opening and closing a flow takes as
    /// long as the work of a short request, so slots would idle with fewer. With more, flows queue at the
    /// server, where they can no longer be reordered.
    double flowsPerSlot { 2.0 };
    /// The same for a server in another data centre whose load is unknown.
    double flowsPerRemoteSlot { 1.0 };
    /// The same for flows whose answers will be late in any case. These limits keep the slots busy while
    /// flows open and close, without a queue that would make later flows late as well.
    double lateFlowsPerSlot { 1.4 };
    double lateFlowsPerRemoteSlot { 0.7 };
    /// Upper bound of flowsPerSlot for services with long flows, whose requests on open flows need no
    /// admission. A server with 2 slots rejects requests from 5 flows per slot on. The bound for servers of
    /// unknown load is in the same ratio to flowsPerRemoteSlot.
    double maximumFlowsPerSlot { 4.0 };
    /// Share of the starts of waiting flows that is reserved for flows of lower priority than the highest,
    /// for services with long flows.
    double lowPriorityShare { 0.1 };
    /// How long after a request on an already open flow its service counts as one with long flows. The
    /// admission rules for long flows apply to such services only.
    core::duration longFlowPeriod { std::chrono::seconds { 10 } };
    /// How long a request on an open flow is held while its server has no room; 0 to disable. Must be less
    /// than the 200 ms after which callers retransmit, so that a held request never causes a copy.
    core::duration requestHold { std::chrono::milliseconds { 100 } };
    /// Bounds of the packets held at the same time, and of their payload: 100 ms of a link of 50 Mbit/s.
    std::size_t maximumHeldPackets { 512 };
    std::size_t maximumHeldBytes { 640'000 };
    /// Maximum number of flows that wait at the host.
    std::size_t waitingFlows { 4096 };
    /// Assumed service time, including the opening and closing of the flow, before the first measurement.
    core::duration firstServiceTime { std::chrono::milliseconds { 60 } };
    /// How often hosts of a data centre exchange load reports.
    core::duration exchangeInterval { std::chrono::milliseconds { 50 } };
    /// Number of neighbours that a host assumes during the startup period, while it may not know them yet.
    std::size_t assumedNeighbours { 2 };
    core::duration startupPeriod { std::chrono::milliseconds { 1000 } };

    /// An open flow without packets counts as load for this many service times, and at least for the given
    /// time. Work times vary, but hardly by more.
    int inactiveServiceTimes { 4 };
    core::duration minimumInactiveTime { std::chrono::milliseconds { 200 } };

    /// A request that stays unanswered for this many service times, and at least for the given time, counts
    /// against its server. If more than the given share of the servers of a service is suspect for this
    /// reason, the cause lies elsewhere and the evidence is ignored.
    int unansweredServiceTimes { 6 };
    core::duration minimumUnansweredTime { std::chrono::milliseconds { 300 } };
    double maximumUnansweredShare { 0.25 };

    /// How long the load report of a neighbour is valid.
    core::duration neighbourLoadLifetime { std::chrono::milliseconds { 400 } };
    /// Number of hosts assumed to share the limit of a cold server while fewer are known.
    std::size_t assumedHosts { 16 };
};

} // namespace shallotcove::steering
