#include "capacity_measurements.hpp"

#include <bit>
#include <memory>
#include <vector>

#include <core/control_fleet.hpp>
#include <shallotcove/core/config_json.hpp>
#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/routing_snapshot.hpp>

#include "process_usage.hpp"

namespace shallotcove::testbench {

namespace {

    constexpr std::uint32_t serversPerService = 7;
    constexpr core::duration measuredTime = std::chrono::seconds { 20 };

    core::service_config makeService(std::uint32_t number)
    {
        core::service_config service;
        service.id = { number };
        service.name = "service-" + std::to_string(number);
        service.address = { core::ip_address::fromV4(0x0a000000 + number), 443 };
        service.revision = 1;
        service.nextServerId = serversPerService + 1;
        core::epoch_plan epoch { { 1 }, core::epoch_phase::Active, {} };
        for (std::uint32_t id = 1; id <= serversPerService; ++id) {
            core::backend_server server;
            server.id = { id };
            server.dataCentre = "buc-a";
            server.address = { core::ip_address::fromV4(0x0b000000 + number * serversPerService + id), 6080 };
            service.servers.push_back(server);
            epoch.servers.push_back({ server.id, server.weight });
        }
        service.epochs.push_back(epoch);
        return service;
    }

    core::store_entry makeStoreEntry(const core::service_config& service, std::uint64_t modified)
    {
        return { core::serviceKey(service.name), { modified }, false, core::formatServiceConfig(service) };
    }

    core::control_engine makeControlEngine()
    {
        core::control_engine_options options;
        options.self.peerAddress = { core::ip_address::fromV4(0x7f000001), 7946 };
        options.self.packetAddress = { core::ip_address::fromV4(0x7f000001), 6080 };
        options.self.dataCentre = "buc-a";
        options.self.incarnation = 1;
        return std::move(*core::control_engine::create(options));
    }

    /// Advances the engine until it emits a snapshot with at least this applied index. Returns the snapshot
    /// and the CPU time in seconds that this took.
    std::pair<std::shared_ptr<const core::routing_snapshot>, double> advanceToSnapshot(
        core::control_engine& engine, core::timestamp& now, std::uint64_t index)
    {
        const double start = threadCpuSeconds();
        std::shared_ptr<const core::routing_snapshot> snapshot;
        while (snapshot == nullptr || snapshot->appliedIndex.value < index) {
            now = now + std::chrono::milliseconds { 50 };
            const core::control_engine_output output = engine.advance(now);
            if (output.snapshot != nullptr)
                snapshot = output.snapshot;
        }
        return { snapshot, threadCpuSeconds() - start };
    }

    core::packet_summary makePacket(std::uint32_t flow, const core::socket_address& service)
    {
        core::packet_summary packet;
        packet.key.caller = { core::ip_address::fromV4(0x0c000000 + flow / 50000),
            static_cast<std::uint16_t>(1024 + flow % 50000) };
        packet.key.service = service;
        packet.isFirst = true;
        packet.bytes = 60;
        return packet;
    }

} // namespace

capacity_sample measureMembership(std::size_t hosts)
{
    capacity_sample sample;
    sample.size = static_cast<double>(hosts);
    const std::size_t initialBytes = allocatedBytes();
    core::control_fleet fleet(hosts);
    for (std::size_t host = 0; host < hosts; ++host)
        fleet.start(host, { core::control_fleet::addressOf(0) });
    fleet.runUntil([&] { return fleet.isConverged(); }, std::chrono::seconds { 120 });
    fleet.run(std::chrono::seconds { 5 });
    for (core::control_fleet::host& host : fleet.hosts)
        host.bytes = 0;
    const double start = threadCpuSeconds();
    fleet.run(measuredTime);
    const double hostSeconds = std::chrono::duration<double>(measuredTime).count() * sample.size;
    sample.coreShare = (threadCpuSeconds() - start) / hostSeconds;
    std::uint64_t bytes = 0;
    for (const core::control_fleet::host& host : fleet.hosts)
        bytes += host.bytes;
    sample.bytesPerSecond = static_cast<double>(bytes) / hostSeconds;
    sample.allocatedBytes = static_cast<double>(allocatedBytes() - initialBytes) / sample.size;
    return sample;
}

capacity_sample measureConfiguration(std::size_t services)
{
    capacity_sample sample;
    sample.size = static_cast<double>(services);
    std::vector<core::store_entry> entries;
    for (std::size_t number = 1; number <= services; ++number)
        entries.push_back(makeStoreEntry(makeService(static_cast<std::uint32_t>(number)), number));
    core::packet_engine packets = std::move(*core::packet_engine::create({}));

    const std::size_t initialBytes = allocatedBytes();
    core::control_engine control = makeControlEngine();
    core::timestamp now;
    control.advance(now);
    const double start = threadCpuSeconds();
    control.handleStoreContents(entries, { services }, now);
    std::shared_ptr<const core::routing_snapshot> snapshot = advanceToSnapshot(control, now, services).first;
    sample.startupSeconds = threadCpuSeconds() - start;
    const std::size_t loadedBytes = allocatedBytes();
    sample.allocatedBytes = static_cast<double>(loadedBytes - initialBytes);
    packets.applySnapshot(snapshot, now);
    sample.packetEngineBytes = static_cast<double>(allocatedBytes() - loadedBytes);

    core::service_config changed = makeService(1);
    changed.servers[0].state = core::server_state::Draining;
    changed.revision = 2;
    control.handleStoreEntries({ makeStoreEntry(changed, services + 1) }, { services + 1 }, now);
    const std::pair<std::shared_ptr<const core::routing_snapshot>, double> next
        = advanceToSnapshot(control, now, services + 1);
    sample.controlChangeSeconds = next.second;
    const double packetChangeStart = threadCpuSeconds();
    packets.applySnapshot(next.first, now);
    sample.packetChangeSeconds = threadCpuSeconds() - packetChangeStart;
    return sample;
}

capacity_sample measureFlows(std::size_t flows)
{
    capacity_sample sample;
    sample.size = static_cast<double>(flows);
    const std::size_t initialBytes = allocatedBytes();
    core::packet_engine_options options;
    // The flow tables use open addressing; the load factor is kept at 3/4 or below.
    options.localFlows = std::bit_ceil(flows * 4 / 3);
    options.trackedFlows = options.localFlows / 4;
    core::packet_engine engine = std::move(*core::packet_engine::create(options));
    sample.allocatedBytes = static_cast<double>(allocatedBytes() - initialBytes);

    std::shared_ptr<core::routing_snapshot> snapshot = std::make_shared<core::routing_snapshot>();
    snapshot->sync = core::sync_state::Synchronized;
    const core::service_config service = makeService(1);
    snapshot->services.push_back(std::make_shared<const core::service_config>(service));
    const core::timestamp now { std::chrono::seconds { 1 } };
    engine.applySnapshot(snapshot, now);
    double start = threadCpuSeconds();
    for (std::size_t flow = 0; flow < flows; ++flow)
        engine.handlePacket(makePacket(static_cast<std::uint32_t>(flow), service.address), {}, now);
    sample.newFlowNanoseconds = (threadCpuSeconds() - start) * 1e9 / sample.size;
    start = threadCpuSeconds();
    for (std::size_t flow = 0; flow < flows; ++flow) {
        core::packet_summary packet = makePacket(static_cast<std::uint32_t>(flow), service.address);
        packet.isFirst = false;
        engine.handlePacket(packet, {}, now);
    }
    sample.knownFlowNanoseconds = (threadCpuSeconds() - start) * 1e9 / sample.size;
    return sample;
}

} // namespace shallotcove::testbench
