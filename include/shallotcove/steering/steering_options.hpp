#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

/// Limits and time-outs of the decisions on flows. Defaults suit callers within 20 ms.
struct steering_options {
    std::string dataCentre;
    /// Region of each data centre.
    std::map<std::string, std::string> regions;
    /// Seeds the choice between services of a split route.
    std::uint64_t randomSeed { 1 };

    /// Bounds of the time that an opening packet may stay without the caller's acknowledgement before it goes
    /// to another server. Between them it follows the measured time, like TCP's retransmission time-out.
    core::duration minimumOfferTimeout { std::chrono::milliseconds { 25 } };
    core::duration maximumOfferTimeout { std::chrono::milliseconds { 150 } };
    core::duration initialOfferTimeout { std::chrono::milliseconds { 45 } };
    /// A caller that was heard this shortly before its flow was offered still uses this host. Routers move
    /// callers every half a second while hosts come and go.
    core::duration callerActivityWindow { std::chrono::milliseconds { 20 } };
    /// Servers that one flow may be offered to. The caller sends three copies itself.
    std::uint32_t attemptsPerFlow { 4 };

    /// Unanswered opening packets in a row that make a server suspect. One can be a lost datagram.
    std::uint32_t unansweredUntilSuspect { 2 };
    /// How long a suspect gets no new flows; doubles up to the longest with each failed trial.
    core::duration minimumSuspicion { std::chrono::milliseconds { 1000 } };
    core::duration maximumSuspicion { std::chrono::milliseconds { 4000 } };
    /// Share of the servers of a data centre, and least number, that make it suspect if they are silent and
    /// none answered since.
    double unresponsiveShareUntilSuspect { 0.5 };
    std::size_t unresponsiveServersUntilSuspect { 2 };
    /// When callers send copies of a first packet, counted from the first one.
    std::array<core::duration, 2> openingCopies { std::chrono::milliseconds { 200 },
        std::chrono::milliseconds { 600 } };
    /// Time on the way, within which copies come early or late.
    core::duration copyMargin { std::chrono::milliseconds { 50 } };
    /// A caller whose flow opened through another host is heard here within this time: a round trip to the
    /// farthest server.
    core::duration refusalConfirmation { std::chrono::milliseconds { 30 } };
    /// Callers give an opening up this long after its first packet; what is sent later is not acknowledged.
    core::duration openingTimeout { std::chrono::milliseconds { 1400 } };

    /// A server whose entry vanished while the store was in trouble stays in use this long: entries that
    /// lapsed meanwhile are back within two seconds of the store's return.
    core::duration doubtAfterRemoval { std::chrono::milliseconds { 2000 } };
    /// Servers that left are remembered for the longest life of a flow, with a margin.
    core::duration memoryOfServers { std::chrono::seconds { 90 } };
    /// After this time packets of open flows no longer go into a data centre that was taken out.
    core::duration evacuationGrace { std::chrono::milliseconds { 4000 } };

    /// Flows that the ledger holds at most; later ones are steered by their packets alone.
    std::size_t ledgerFlows { 16384 };
    /// An ended flow stays known this long, so that late copies of its first packet are recognised.
    core::duration endedFlowRetention { std::chrono::milliseconds { 2000 } };
    /// A flow of a route without a timeout counts as load this long after its last packet.
    core::duration defaultIdleTimeout { std::chrono::seconds { 8 } };

    /// Cost of a server in another data centre, in waits for one request: its packets cross a priced link.
    double otherDataCentreCost { 0.75 };
    /// Cost of a cold server, in waits for one request.
    double coldServerCost { 0.3 };
    /// Flows that a server is given at once for each of its slots. Opening and closing take as long as the
    /// work of a short request, so that with fewer its slots would idle; with more, flows wait at the server,
    /// where their order cannot be changed any more.
    double flowsPerSlot { 2.0 };
    /// The same for a server in another data centre whose load is not known.
    double flowsPerRemoteSlot { 1.0 };
    /// The same for flows whose answers are late already: enough to keep the slots busy while flows open and
    /// close, and no queue that makes later flows late as well.
    double lateFlowsPerSlot { 1.4 };
    double lateFlowsPerRemoteSlot { 0.7 };
    /// Flows that wait at the host at most.
    std::size_t waitingFlows { 4096 };
    /// Time of a request, opening and closing included, before any is measured.
    core::duration firstServiceTime { std::chrono::milliseconds { 60 } };
    /// How often hosts of a data centre exchange their loads.
    core::duration exchangeInterval { std::chrono::milliseconds { 50 } };
    /// A host that has just started does not know its neighbours yet and assumes so many.
    std::size_t assumedNeighbours { 2 };
    core::duration startupPeriod { std::chrono::milliseconds { 1000 } };

    /// An open flow without packets is load for so many times of a request, at least for the given time: work
    /// times vary, but hardly by more.
    int inactiveServiceTimes { 4 };
    core::duration minimumInactiveTime { std::chrono::milliseconds { 200 } };

    /// A request without an answer for so many times of a request, and the given time, counts against its
    /// server. If more than the given share of the servers of a service are suspect by it, the cause lies
    /// elsewhere.
    int unansweredServiceTimes { 6 };
    core::duration minimumUnansweredTime { std::chrono::milliseconds { 300 } };
    double maximumUnansweredShare { 0.25 };

    /// Loads that neighbours report count this long.
    core::duration neighbourLoadLifetime { std::chrono::milliseconds { 400 } };
    /// Hosts assumed to share the limit of a cold server while none is known.
    std::size_t assumedHosts { 16 };
};

} // namespace shallotcove::steering
