#include "engine_fleet.hpp"

#include <algorithm>

#include <criterion/criterion.h>

#include <shallotcove/core/rendezvous.hpp>

namespace shallotcove::core::testing {

namespace {

    constexpr std::uint64_t hashSeed = 7;

    member makeMember(std::size_t index)
    {
        member result;
        result.peerAddress = { ip_address::fromV4(0x7f000100 + std::uint32_t(index)), 7946 };
        result.packetAddress = { ip_address::fromV4(0x7f000100 + std::uint32_t(index)), 6080 };
        result.id = hostIdFor(result.peerAddress);
        result.dataCentre = "a";
        return result;
    }

    packet_summary makePacket(std::uint32_t caller, const service_config& service)
    {
        packet_summary packet;
        packet.key
            = { { ip_address::fromV4(0x0a000000 + caller), 40000 }, service.address, service.protocol };
        packet.bytes = 60;
        return packet;
    }

} // namespace

engine_fleet::engine_fleet(std::size_t hosts, const packet_engine_options& options)
{
    for (std::size_t index = 0; index < hosts; ++index)
        m_members.push_back(makeMember(index));
    std::sort(m_members.begin(), m_members.end(),
        [](const member& left, const member& right) { return left.id < right.id; });
    for (const member& self : m_members) {
        tl::expected<packet_engine, packet_engine_error> engine = packet_engine::create(options);
        cr_assert(engine.has_value());
        host_state added { std::move(*engine), {}, {}, {}, {}, false };
        added.nextSnapshot.sync = sync_state::Synchronized;
        added.nextSnapshot.self = self.id;
        added.nextSnapshot.flowHashSeed = hashSeed;
        added.nextSnapshot.owners = m_members;
        added.nextSnapshot.admissionHosts = std::uint32_t(hosts);
        m_hosts.push_back(std::move(added));
    }
}

packet_engine_options engine_fleet::smallTableOptions()
{
    packet_engine_options options;
    options.localFlows = 4096;
    options.trackedFlows = 4096;
    return options;
}

void engine_fleet::apply(std::size_t host)
{
    ++m_hosts[host].nextSnapshot.version;
    m_hosts[host].engine.applySnapshot(std::make_shared<routing_snapshot>(m_hosts[host].nextSnapshot), m_now);
}

void engine_fleet::applyToAll(const std::vector<service_config>& services)
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        nextSnapshot(index).services.clear();
        for (const service_config& service : services)
            nextSnapshot(index).services.push_back(std::make_shared<service_config>(service));
        ++nextSnapshot(index).appliedIndex.value;
        apply(index);
    }
}

void engine_fleet::applyService(std::size_t host, const service_config& service)
{
    nextSnapshot(host).services = { std::make_shared<service_config>(service) };
    ++nextSnapshot(host).appliedIndex.value;
    apply(host);
}

void engine_fleet::setOwners(std::size_t host, const std::vector<std::size_t>& owners)
{
    nextSnapshot(host).owners.clear();
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        if (std::find(owners.begin(), owners.end(), index) != owners.end())
            nextSnapshot(host).owners.push_back(m_members[index]);
    }
    apply(host);
}

void engine_fleet::setOwnersAtAllHosts(const std::vector<std::size_t>& owners)
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
        setOwners(host, owners);
}

std::vector<std::size_t> engine_fleet::hostsExcept(const std::vector<std::size_t>& excluded) const
{
    std::vector<std::size_t> rest;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (std::find(excluded.begin(), excluded.end(), host) == excluded.end())
            rest.push_back(host);
    }
    return rest;
}

std::size_t engine_fleet::uninvolvedHost(const packet_summary& packet, std::size_t number) const
{
    const std::pair<std::size_t, std::size_t> involved = ownerAndBackup(packet);
    return hostsExcept({ involved.first, involved.second })[number];
}

packet_outcome engine_fleet::send(std::size_t host, const packet_summary& packet)
{
    packet_outcome result { engine(host).handlePacket(packet, packet.key.caller, m_now), 0 };
    while (result.finalDecision.kind == decision_kind::Redirect) {
        const std::size_t receiver = indexOf(result.finalDecision.redirectTo);
        cr_assert(++result.hops <= 3, "a packet went through more than 3 redirects");
        cr_assert(result.finalDecision.header.hops == result.hops);
        if (m_hosts[receiver].isDown)
            return { {}, result.hops };
        result.finalDecision = redirectTo(receiver, packet, result.finalDecision.header);
    }
    return result;
}

decision engine_fleet::redirectTo(
    std::size_t host, const packet_summary& packet, const redirect_header& header)
{
    return engine(host).handleRedirect(packet, header, m_now);
}

void engine_fleet::run(duration length)
{
    const duration step = std::chrono::milliseconds { length > std::chrono::seconds { 30 } ? 500 : 10 };
    for (const timestamp end = m_now + length; m_now < end;) {
        m_now = m_now + step;
        for (host_state& each : m_hosts) {
            if (each.isDown)
                continue;
            each.output = each.engine.advance(m_now);
            each.evidence.insert(each.evidence.end(), each.output.servers.begin(), each.output.servers.end());
            each.classes.insert(each.classes.end(), each.output.classes.begin(), each.output.classes.end());
            for (const addressed_message& message : each.output.messages)
                deliver(message);
        }
    }
}

void engine_fleet::deliver(const addressed_message& message)
{
    host_state& receiver = m_hosts[indexOf(message.to)];
    if (const track_batch* const batch = std::get_if<track_batch>(&message.message)) {
        m_trackedFlowsSent += batch->flows.size();
        if (!receiver.isDown)
            receiver.engine.handleTrackBatch(*batch, m_now);
    } else if (const hint* const hints = std::get_if<hint>(&message.message)) {
        if (!receiver.isDown)
            receiver.engine.handleHint(*hints, m_now);
    }
}

server_evidence engine_fleet::evidence(std::uint32_t server) const
{
    server_evidence sum;
    for (const host_state& each : m_hosts) {
        for (const server_evidence& part : each.evidence) {
            if (part.server.value != server)
                continue;
            sum.newFlows += part.newFlows;
            sum.retransmittedFirstPackets += part.retransmittedFirstPackets;
            sum.establishedFlows += part.establishedFlows;
            sum.silentFlows += part.silentFlows;
        }
    }
    return sum;
}

std::pair<std::size_t, std::size_t> engine_fleet::ownerAndBackup(const packet_summary& packet) const
{
    std::vector<host_id> hosts;
    for (const member& each : m_members)
        hosts.push_back(each.id);
    const host_ranks ranks = rankHosts(hashOf(packet), hosts);
    return { *ranks.owner, *ranks.backup };
}

std::size_t engine_fleet::indexOf(host_id id) const
{
    const auto found = std::find_if(
        m_members.begin(), m_members.end(), [id](const member& each) { return each.id == id; });
    cr_assert(found != m_members.end());
    return std::size_t(found - m_members.begin());
}

service_config makeService(std::uint32_t servers)
{
    service_config service;
    service.id = { 1 };
    service.name = "rezervari";
    service.address = { ip_address::fromV4(0xc0000201), 443 };
    std::vector<std::uint32_t> all;
    for (std::uint32_t id = 1; id <= servers; ++id) {
        backend_server server;
        server.id = { id };
        server.dataCentre = "a";
        server.address = { ip_address::fromV4(0x7f000200 + id), 6080 };
        service.servers.push_back(server);
        all.push_back(id);
    }
    addEpoch(service, epoch_phase::Active, all);
    return service;
}

void addEpoch(service_config& service, epoch_phase phase, const std::vector<std::uint32_t>& servers)
{
    epoch_plan plan;
    plan.number = { service.epochs.empty() ? 1 : service.epochs.back().number.value + 1 };
    plan.phase = phase;
    for (const std::uint32_t server : servers)
        plan.servers.push_back({ { server }, 100 });
    service.epochs.push_back(plan);
}

service_config drainingService(epoch_phase phase)
{
    service_config service = makeService(4);
    service.servers[0].state = server_state::Draining;
    addEpoch(service, phase, { 2, 3, 4 });
    return service;
}

packet_summary firstPacket(std::uint32_t caller, const service_config& service)
{
    packet_summary packet = makePacket(caller, service);
    packet.isFirst = true;
    return packet;
}

packet_summary laterPacket(std::uint32_t caller, const service_config& service)
{
    return makePacket(caller, service);
}

flow_hash hashOf(const packet_summary& packet) { return hashFlow(packet.key, hashSeed); }

std::uint32_t choiceOf(const service_config& service, std::size_t epoch, std::uint32_t caller)
{
    return chooseServer(hashOf(makePacket(caller, service)), service.epochs[epoch].servers)->value;
}

} // namespace shallotcove::core::testing
