#pragma once

#include <optional>

#include <shallotcove/core/time.hpp>

namespace shallotcove::steering {

/// Rate and number of further requests on the open flows of a service, learned from the latest flows and
/// requests and from the time for which flows were open. Older samples lose weight with a half-life of ten
/// seconds.
class request_rate {
public:
    /// Records a request on a flow that already had one.
    void recordRequest() { m_requests += 1; }
    /// Records a flow that opened.
    void recordFlow() { m_flows += 1; }
    /// Accounts for the time since the last call, in which openFlows flows were open.
    void advance(double openFlows, core::timestamp now);

    /// Requests per second and open flow; 0 until flows have been open for long enough to tell.
    double perSecondAndFlow() const;
    /// Requests in the lifetime of a flow, from 1 to 32.
    double perLifetime() const;

private:
    double m_requests {};
    double m_flows {};
    /// Sum over all flows of the time for which each was open, in seconds.
    double m_flowSeconds {};
    std::optional<core::timestamp> m_lastAdvance;
};

} // namespace shallotcove::steering
