#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include <shallotcove/core/rendezvous.hpp>
#include <shallotcove/core/routing_snapshot.hpp>

#include "flow_counters.hpp"
#include "service_view.hpp"

namespace shallotcove::core {

struct address_key {
    socket_address address;
    transport protocol { transport::Tcp };

    friend bool operator==(const address_key&, const address_key&) = default;
};

struct address_key_hash {
    std::size_t operator()(const address_key&) const noexcept;
};

/// A routing snapshot in the form that the packet path reads. Rebuilt for each snapshot; the token buckets
/// are taken over from the previous view.
class routing_view {
public:
    routing_view(
        std::shared_ptr<const routing_snapshot>, routing_view* previous, flow_counters&, timestamp now);

    const routing_snapshot& snapshot() const { return *m_snapshot; }
    service_view* findService(const socket_address&, transport);
    service_view* findService(service_id);
    const std::vector<std::unique_ptr<service_view>>& services() const { return m_services; }

    const std::vector<host_id>& hosts() const { return m_hosts; }
    const member& owner(std::size_t rank) const { return m_snapshot->owners[rank]; }

private:
    std::shared_ptr<const routing_snapshot> m_snapshot;
    std::vector<host_id> m_hosts;
    std::vector<std::unique_ptr<service_view>> m_services;
    std::unordered_map<address_key, service_view*, address_key_hash> m_byAddress;
    std::unordered_map<service_id, service_view*> m_byId;
};

} // namespace shallotcove::core
