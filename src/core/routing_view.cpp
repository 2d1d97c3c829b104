#include "routing_view.hpp"

#include <array>
#include <cstring>

#include <xxhash.h>

namespace shallotcove::core {

std::size_t address_key_hash::operator()(const address_key& key) const noexcept
{
    std::array<std::uint8_t, 19> bytes {};
    std::memcpy(bytes.data(), key.address.address.bytes.data(), 16);
    std::memcpy(bytes.data() + 16, &key.address.port, 2);
    bytes[18] = static_cast<std::uint8_t>(key.protocol);
    return XXH3_64bits(bytes.data(), bytes.size());
}

routing_view::routing_view(std::shared_ptr<const routing_snapshot> snapshot, routing_view* previous,
    flow_counters& counters, timestamp now)
    : m_snapshot(std::move(snapshot))
{
    for (const member& owner : m_snapshot->owners)
        m_hosts.push_back(owner.id);
    std::unordered_map<service_id, std::vector<const effective_limit*>> limits;
    for (const effective_limit& limit : m_snapshot->limits)
        limits[limit.limit.service].push_back(&limit);
    for (const std::shared_ptr<const service_config>& config : m_snapshot->services) {
        service_view* const previousService
            = previous == nullptr ? nullptr : previous->findService(config->id);
        const service_view_input input { *m_snapshot, config, limits[config->id], previousService, now };
        m_services.push_back(std::make_unique<service_view>(input, counters));
        service_view* const service = m_services.back().get();
        m_byId.emplace(config->id, service);
        service_view*& atAddress = m_byAddress[{ config->address, config->protocol }];
        // If a service that is being removed shares its address with a newer one, the newer one gets the
        // packets.
        if (atAddress == nullptr || config->state == service_state::Active)
            atAddress = service;
    }
}

service_view* routing_view::findService(const socket_address& address, transport protocol)
{
    const auto found = m_byAddress.find({ address, protocol });
    return found == m_byAddress.end() ? nullptr : found->second;
}

service_view* routing_view::findService(service_id id)
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

} // namespace shallotcove::core
