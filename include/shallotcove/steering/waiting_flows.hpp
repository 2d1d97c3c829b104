#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_address.hpp>

namespace shallotcove::steering {

/// A new flow for which no server has room yet.
struct waiting_flow {
    flow_address flow;
    /// 0 is the most important.
    std::uint32_t priority {};
    core::timestamp arrivedAt;
    /// When an answer is no longer timely, when the caller gives up if the flow has not opened, and when it
    /// gives up waiting for an answer.
    core::timestamp goalAt;
    core::timestamp openingDeadline;
    core::timestamp expiresAt;
    /// Work of its request, for services with long flows; zero for others, whose flows are ordered without
    /// it.
    core::duration work {};
    /// Latest start with which the flow is answered in time, if servers are as full as they may be. Used for
    /// services with long flows.
    core::timestamp startBy {};
    /// Whether the flow goes first because of the share of the starts that lower priorities have.
    bool hasReservedPlace {};

    friend bool operator==(const waiting_flow&, const waiting_flow&) = default;
};

/// New flows of one service that wait at the host until a server has room. Handles a temporary load above the
/// capacity of the servers, such as all callers returning after an outage. Flows that can still be answered
/// in time go before those that are already late, so that the backlog does not make every flow late. Flows
/// that cannot be answered before their callers give up are refused as soon as this is known.
class waiting_flows {
public:
    /// The share of the starts that lower priorities have while they wait applies to services with long
    /// flows.
    explicit waiting_flows(core::duration firstServiceTime, double lowPriorityShare = 0);

    // Commands.

    void add(const waiting_flow&);
    void remove(const flow_address&);
    /// Records the time from the offer of a flow to its answer.
    void recordServiceTime(core::duration);
    /// Records that a waiting flow got a server.
    void recordStart(const waiting_flow&, core::timestamp now);
    /// Removes and returns the flows that can no longer be answered before their callers give up. Under
    /// sustained load these include the flows that would not get a server in time at the measured rate at
    /// which late flows get servers. A flow that would start too late for a timely answer, given that the
    /// servers this host may use work on flowsAtOnce flows, counts as late there.
    std::vector<waiting_flow> takeUnservable(double flowsAtOnce, core::timestamp now);
    /// Removes and returns the flows of services with long flows that are not expected to get a server in
    /// time. Called after the placement of a round, so that no flow is refused that a server has room for.
    std::vector<waiting_flow> takeUntimely(double flowsAtOnce, core::timestamp now);

    // Queries.

    /// The flow that gets the next free server.
    std::optional<waiting_flow> next(core::timestamp now) const;
    /// The flow of a lower priority than that one that gets the next free server instead, if the reserved
    /// share has come to a whole start.
    std::optional<waiting_flow> nextReserved(core::timestamp now) const;
    /// Whether a flow can get a server before its caller gives up, after all flows that go before it, if the
    /// servers that this host may use work on flowsAtOnce flows at a time.
    bool canServe(const waiting_flow&, double flowsAtOnce, core::timestamp now) const;
    /// Whether a flow that gets a server now is answered in time.
    bool isTimely(core::timestamp goalAt, core::timestamp now) const;
    bool isEmpty() const { return m_flows.empty(); }
    std::size_t size() const { return m_flows.size(); }
    core::duration serviceTime() const { return m_serviceTime; }

private:
    bool isUnservable(const waiting_flow&, core::timestamp startAt) const;
    bool isTimely(const waiting_flow&, core::timestamp startAt) const;
    bool isForLongFlows() const;
    bool hasLowerPriority(std::uint32_t priority) const;
    /// Time from one start to the next, measured or, before the first measurement, expected.
    core::duration timePerStart(double flowsAtOnce) const;
    core::duration expectedWait(const waiting_flow&, std::size_t ahead, double flowsAtOnce) const;
    void measure(core::timestamp now);
    void dropBeyondLateRate(std::vector<waiting_flow>& unservable, double flowsAtOnce, core::timestamp now);
    bool goesBefore(const waiting_flow& left, const waiting_flow& right, core::timestamp now) const;

    std::vector<waiting_flow> m_flows;
    core::duration m_serviceTime;
    /// Start of the window in which late starts are counted; unset while no flow waits.
    std::optional<core::timestamp> m_windowStart;
    /// Since when at least one flow has been waiting without interruption.
    std::optional<core::timestamp> m_waitingSince;
    std::map<std::uint32_t, double> m_starts;
    double m_lateStarts {};
    /// Measured over the last complete window; unset once no flow waits. Empty after a window without starts.
    std::optional<std::map<std::uint32_t, double>> m_startsPerSecond;
    std::optional<double> m_lateStartsPerSecond;
    double m_lowPriorityShare;
    /// Starts that the lower priorities are due.
    double m_reservedStarts {};
};

} // namespace shallotcove::steering
