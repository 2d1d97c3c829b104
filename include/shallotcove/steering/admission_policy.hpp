#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <shallotcove/core/time.hpp>
#include <shallotcove/steering/flow_admission.hpp>
#include <shallotcove/steering/route_work.hpp>

namespace shallotcove::steering {

struct route;
struct steering_options;

/// Decides how full a server may be to get a request of a service with long flows. The requests ahead of it,
/// the opening of its flow and its own work have to leave it enough time for a timely answer. Answers
/// overload of the servers: with a fixed limit, new flows wait at the hosts although a place in a server's
/// queue would serve them in time, while requests on open flows take these places.
class admission_policy {
public:
    // Commands.

    /// Records the time from a request to its answer. Flows per slot are those at the server when the request
    /// was sent, including its own.
    void recordAnswer(const std::string& service, const route&, core::duration time, double flowsPerSlot,
        core::timestamp now);
    /// Records that a server rejected a request because it had no place for it. Lowers the bound of the
    /// limits of its service.
    void recordRejection(const std::string& service, core::timestamp now);
    /// Whether a request that ended after this time without an answer was rejected by its server.
    bool isRejection(const std::string& service, const route&, core::duration time, double flowsPerSlot,
        const steering_options&, core::timestamp now) const;
    /// Records that a flow of the route wants a server of the service. Routes of lower priority then leave
    /// the last places of each server to the route.
    void recordFlow(const std::string& service, const route&, const steering_options&, core::timestamp now);

    // Queries.

    /// Work of a request of the route. Routes without samples use the mean of their service, then the
    /// configured first service time.
    core::duration workOf(
        const std::string& service, const route&, const steering_options&, core::timestamp now) const;
    /// Work of the route as a multiple of the mean of its service.
    double relativeWork(
        const std::string& service, const route&, const steering_options&, core::timestamp now) const;
    /// Whether a flow that gets a free slot now is answered in time. The age counts from the first packet of
    /// its caller.
    bool isTimely(const std::string& service, const route&, core::duration age, const steering_options&,
        core::timestamp now) const;
    /// Latest age at which a flow is answered in time by a server that is filled up to the limit in effect.
    /// Not above that of a higher priority: flows that may wait for longer find more places.
    core::duration latestStartAge(
        const std::string& service, const route&, const steering_options&, core::timestamp now) const;
    /// The limit for a new flow of the given age. A flow that takes a place of the reserved share of the
    /// lower priorities competes as if its route had the highest.
    flow_admission limitForFlow(const std::string& service, const route&, core::duration age,
        bool isReservedPlace, const steering_options&, core::timestamp now) const;
    /// Flows per slot at which a server has no capacity left for a request of the route that arrives now on
    /// an open flow. No time is left for a retry, which such a request does not have.
    double limitForRequest(
        const std::string& service, const route&, const steering_options&, core::timestamp now) const;
    /// For how long a request on an open flow may be held at most. Zero if it cannot be answered in time.
    core::duration longestHold(
        const std::string& service, const route&, const steering_options&, core::timestamp now) const;
    /// Limit in effect for the highest priority of the service, as a multiple of the configured flows per
    /// slot.
    double scaleInEffect(const std::string& service, const steering_options&, core::timestamp now) const;

private:
    /// Flows of one priority of a service: when the last one arrived, their limit in flows per slot, and at
    /// what age the last one had to start.
    struct priority_limit {
        core::timestamp lastFlowAt;
        double flowsPerSlot {};
        core::duration latestStartAge {};
    };

    /// Decays from the time of its last change.
    struct reduction {
        double flowsPerSlot {};
        core::timestamp changedAt;
    };

    core::duration workOfService(
        const std::string& service, const steering_options&, core::timestamp now) const;
    /// Flows per slot at which a request with so much time left is still answered in time.
    double timelyFlowsPerSlot(const std::string& service, const route&, core::duration timeLeft,
        const steering_options&, core::timestamp now) const;
    core::duration ownLatestStartAge(
        const std::string& service, const route&, const steering_options&, core::timestamp now) const;
    double reductionOf(const std::string& service, core::timestamp now) const;
    double ceilingOf(const std::string& service, const steering_options&, core::timestamp now) const;
    double withinPriority(const std::string& service, const route&, double flowsPerSlot,
        const steering_options&, core::timestamp now) const;

    route_work m_routeWork;
    service_work m_serviceWork;
    /// What rejections took off the highest permitted limit of a service.
    std::map<std::string, reduction> m_reductions;
    /// By service and priority.
    std::map<std::string, std::map<std::uint32_t, priority_limit>> m_priorities;
};

} // namespace shallotcove::steering
