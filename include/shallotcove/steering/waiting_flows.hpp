#pragma once

#include <cstddef>
#include <cstdint>
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
    /// When the answer stops being timely, when the caller gives the flow up if it is not open, and when it
    /// gives up altogether.
    core::timestamp goalAt;
    core::timestamp openingDeadline;
    core::timestamp expiresAt;

    friend bool operator==(const waiting_flow&, const waiting_flow&) = default;
};

/// New flows of one service that wait at the host for a server with room. Answers a load above what the
/// servers bear for a while, such as the callers that come back together after an outage: a flow that can
/// still be answered in time goes before one that is late already, so that the backlog does not make
/// everybody late. Flows that cannot be answered before their callers give up are refused as soon as that is
/// known.
class waiting_flows {
public:
    explicit waiting_flows(core::duration firstServiceTime);

    // Commands.

    void add(const waiting_flow&);
    void remove(const flow_address&);
    /// A flow ended that was offered this long ago.
    void recordServiceTime(core::duration);
    /// A flow that waited got a server.
    void recordStart(const waiting_flow&, core::timestamp now);
    /// Takes out the flows that can no longer be answered before their callers give up, and those whose turn
    /// will not come by then at the rate at which late flows got servers of late. A flow whose turn comes too
    /// late for a timely answer, if the servers that this host may use work on so many flows at once, counts
    /// as late.
    std::vector<waiting_flow> takeUnservable(double flowsAtOnce, core::timestamp now);

    // Queries.

    /// The flow that gets the next server.
    std::optional<waiting_flow> next(core::timestamp now) const;
    /// Whether a flow can expect a server before its caller gives up, behind all that go before it, if the
    /// servers that this host may use work on so many flows at once.
    bool canServe(const waiting_flow&, double flowsAtOnce, core::timestamp now) const;
    /// Whether a flow that gets a server now is answered in time.
    bool isTimely(core::timestamp goalAt, core::timestamp now) const;
    bool isEmpty() const { return m_flows.empty(); }
    std::size_t size() const { return m_flows.size(); }
    core::duration serviceTime() const { return m_serviceTime; }

private:
    bool isUnservable(const waiting_flow&, core::timestamp startAt) const;
    void measure(core::timestamp now);
    void dropBeyondLateRate(std::vector<waiting_flow>& unservable, double flowsAtOnce, core::timestamp now);
    bool goesBefore(const waiting_flow& left, const waiting_flow& right, core::timestamp now) const;

    std::vector<waiting_flow> m_flows;
    core::duration m_serviceTime;
    /// Start of the window in which late starts are counted; none while nothing waits.
    std::optional<core::timestamp> m_windowStart;
    /// Since when flows have waited without a break.
    std::optional<core::timestamp> m_waitingSince;
    double m_lateStarts {};
    /// From the last window that was over while flows waited all along.
    std::optional<double> m_lateStartsPerSecond;
};

} // namespace shallotcove::steering
