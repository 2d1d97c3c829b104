#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <shallotcove/core/flow.hpp>
#include <shallotcove/core/routing_snapshot.hpp>

#include "flow_counters.hpp"
#include <shallotcove/core/token_bucket.hpp>

namespace shallotcove::core {

/// A backend server in the form that the packet path reads.
struct server_view {
    backend_server_id id;
    socket_address address;
    server_state state { server_state::Active };
    bool isDataCentreOut {};
    bool hasLimit {};
    limit_kind kind { limit_kind::Clear };
    limit_stage stage { limit_stage::Pending };
    timestamp limitedSince;
    /// This host's share of the limit.
    token_bucket share;
    server_counters* counters {};

    /// Whether owners have to check the limit before they place new flows on this server.
    bool isLimited() const { return hasLimit && kind != limit_kind::Clear && stage != limit_stage::Cleared; }
    /// Whether a first packet that matches an entry for this server may go there.
    bool acceptsNewFlows() const
    {
        return state == server_state::Active && !isDataCentreOut
            && !(isLimited() && kind == limit_kind::Dead);
    }
};

struct class_view {
    ip_address prefix;
    std::uint8_t prefixLength {};
    bool isUnlimited { true };
    token_bucket share;
    class_counters* counters {};
};

/// Servers that the live epochs of a service choose for one flow; null where a plan is empty.
struct flow_choice {
    server_view* base {};
    /// Choice of the newest active epoch.
    server_view* active {};
    bool isAmbiguous {};
};

struct service_view_input {
    const routing_snapshot& snapshot;
    std::shared_ptr<const service_config> config;
    const std::vector<const effective_limit*>& limits;
    /// The same service in the previous view, or null.
    const class service_view* previous;
    timestamp now;
};

/// One service with its live epochs, limits and caller classes.
class service_view {
public:
    service_view(const service_view_input&, flow_counters&);

    const service_config& config() const { return *m_config; }
    service_id id() const { return m_config->id; }
    bool isDatagram() const { return m_config->protocol == transport::Udp; }

    /// Null if the service has no such server.
    server_view* findServer(backend_server_id);
    flow_choice choose(const flow_hash&);
    /// The server after previous in the rendezvous order of the newest active epoch; the first one if
    /// previous is null. Only valid after choose() for the same flow.
    server_view* nextChoice(const server_view* previous);
    /// Whether choose() can find a flow ambiguous.
    bool canBeAmbiguous() const { return m_plans.size() > 1 || m_hasLimits; }
    bool hasPreparedEpoch() const;

    class_view& callerClassOf(const ip_address& caller);

private:
    struct plan_entry {
        std::uint32_t server {};
        double inverseWeight {};
    };
    using plan_view = std::vector<plan_entry>;

    void addServers(const service_view_input&, flow_counters&);
    void addLimits(const service_view_input&);
    void addPlans();
    void addClasses(const service_view_input&, flow_counters&);
    server_view* choiceOfPlan(const plan_view&);

    std::shared_ptr<const service_config> m_config;
    /// Sorted by id.
    std::vector<server_view> m_servers;
    /// In the order of the caller classes; the last element is for callers of no class.
    std::vector<class_view> m_classes;
    std::vector<plan_view> m_plans;
    std::size_t m_activePlan {};
    bool m_hasLimits {};
    /// Indexes of the servers that are in any plan.
    std::vector<std::uint32_t> m_plannedServers;
    /// Rendezvous costs of the flow that choose() was last called for, by server index.
    std::vector<double> m_costs;
};

} // namespace shallotcove::core
