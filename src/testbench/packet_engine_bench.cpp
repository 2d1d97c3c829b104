#include <shallotcove/core/packet_engine.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <benchmark/benchmark.h>

#include <shallotcove/core/routing_snapshot.hpp>

// Measures the cost of one decision for known, new and ambiguous flows and of an epoch change. A plain
// hash-table lookup of the flow in the same run is the lower bound to compare with. The flow tables have
// their default sizes and hold 300,000 flows.

namespace {

using namespace shallotcove::core;

constexpr std::uint32_t openFlows = 300'000;
constexpr std::uint32_t serverCount = 14;
constexpr std::size_t hostCount = 9;

service_config makeService(std::uint32_t number)
{
    service_config service;
    service.id = { number };
    service.name = "service-" + std::to_string(number);
    service.address = { ip_address::fromV4(0xc0000200 + number), 443 };
    epoch_plan plan { { 1 }, epoch_phase::Active, {} };
    for (std::uint32_t id = 1; id <= serverCount; ++id) {
        backend_server server;
        server.id = { id };
        server.dataCentre = "a";
        server.address = { ip_address::fromV4(0x7f000200 + id), 6080 };
        service.servers.push_back(server);
        plan.servers.push_back({ { id }, 50 + 10 * id });
    }
    service.epochs.push_back(plan);
    return service;
}

/// Makes a service whose second epoch, which is active, omits the last server.
service_config makeDrainedService(std::uint32_t number)
{
    service_config service = makeService(number);
    service.epochs.push_back({ { 2 }, epoch_phase::Active, service.epochs[0].servers });
    service.epochs.back().servers.pop_back();
    return service;
}

std::shared_ptr<routing_snapshot> makeSnapshot(const std::vector<service_config>& services)
{
    const std::shared_ptr<routing_snapshot> snapshot = std::make_shared<routing_snapshot>();
    snapshot->sync = sync_state::Synchronized;
    snapshot->appliedIndex = { services[0].epochs.size() };
    for (std::size_t index = 1; index <= hostCount; ++index) {
        member host;
        host.id = { index };
        host.packetAddress = { ip_address::fromV4(0x7f000100 + std::uint32_t(index)), 6080 };
        snapshot->owners.push_back(host);
    }
    snapshot->self = { 1 };
    snapshot->admissionHosts = hostCount;
    for (const service_config& service : services)
        snapshot->services.push_back(std::make_shared<service_config>(service));
    return snapshot;
}

packet_summary makePacket(std::uint32_t caller, const service_config& service, bool isFirst = false)
{
    packet_summary packet;
    packet.key = { { ip_address::fromV4(0x0a000000 + caller), 40000 }, service.address, service.protocol };
    packet.isFirst = isFirst;
    return packet;
}

/// Returns callers in pseudo-random order, so that lookups miss the CPU caches as they do with real traffic.
std::uint32_t nextCaller(std::uint32_t& state, std::uint32_t callers)
{
    state = state * 1664525 + 1013904223;
    return std::uint32_t((std::uint64_t { state } * callers) >> 32);
}

packet_engine makeEngine() { return std::move(*packet_engine::create({})); }

constexpr timestamp now { std::chrono::seconds { 100 } };

packet_engine makeLoadedEngine(const service_config& service)
{
    packet_engine engine = makeEngine();
    engine.applySnapshot(makeSnapshot({ service }), now);
    for (std::uint32_t caller = 0; caller < openFlows; ++caller)
        engine.handlePacket(makePacket(caller, service), {}, now);
    return engine;
}

struct key_hash {
    std::size_t operator()(const flow_key& key) const { return hashFlow(key, 0).low; }
};

void hashTableLookup(benchmark::State& state)
{
    const service_config service = makeService(1);
    std::unordered_map<flow_key, backend_server_id, key_hash> table;
    for (std::uint32_t caller = 0; caller < openFlows; ++caller)
        table[makePacket(caller, service).key] = { caller };
    std::uint32_t random {};
    for (auto _ : state)
        benchmark::DoNotOptimize(table.find(makePacket(nextCaller(random, openFlows), service).key));
}
BENCHMARK(hashTableLookup);

void knownFlow(benchmark::State& state)
{
    const service_config service = makeService(1);
    packet_engine engine = makeLoadedEngine(service);
    std::uint32_t random {};
    for (auto _ : state)
        benchmark::DoNotOptimize(
            engine.handlePacket(makePacket(nextCaller(random, openFlows), service), {}, now));
}
BENCHMARK(knownFlow);

void knownFlowDuringChange(benchmark::State& state)
{
    const service_config service = makeService(1);
    packet_engine engine = makeLoadedEngine(service);
    engine.applySnapshot(makeSnapshot({ makeDrainedService(1) }), now);
    std::uint32_t random {};
    for (auto _ : state)
        benchmark::DoNotOptimize(
            engine.handlePacket(makePacket(nextCaller(random, openFlows), service), {}, now));
}
BENCHMARK(knownFlowDuringChange);

void newFlow(benchmark::State& state)
{
    const service_config service = makeService(1);
    packet_engine engine = makeLoadedEngine(service);
    std::uint32_t caller = openFlows;
    for (auto _ : state)
        benchmark::DoNotOptimize(engine.handlePacket(makePacket(caller++, service, true), {}, now));
}
// 150,000 more flows fill the table to a load factor of 0.86.
BENCHMARK(newFlow)->Iterations(150'000);

/// Handles only flows for which the two epochs choose different servers. Most are redirected, some are placed
/// here as owner.
void ambiguousFlow(benchmark::State& state)
{
    const service_config service = makeDrainedService(1);
    packet_engine engine = makeEngine();
    engine.applySnapshot(makeSnapshot({ service }), now);
    std::vector<packet_summary> packets;
    for (std::uint32_t caller = 0; packets.size() < 100'000; ++caller) {
        const packet_summary packet = makePacket(caller, service, true);
        // Selects the flows that this engine redirects to their owner.
        if (engine.handlePacket(packet, {}, now).kind == decision_kind::Redirect)
            packets.push_back(packet);
    }
    engine = makeEngine();
    engine.applySnapshot(makeSnapshot({ service }), now);
    std::size_t index {};
    for (auto _ : state)
        benchmark::DoNotOptimize(engine.handlePacket(packets[index++ % packets.size()], {}, now));
}
BENCHMARK(ambiguousFlow);

/// Applies a snapshot with one more epoch in one of this many services.
void epochChange(benchmark::State& state)
{
    std::vector<service_config> before;
    for (std::uint32_t number = 1; number <= std::uint32_t(state.range(0)); ++number)
        before.push_back(makeService(number));
    std::vector<service_config> after = before;
    after[0] = makeDrainedService(1);
    packet_engine engine = makeLoadedEngine(before[0]);
    const std::shared_ptr<routing_snapshot> snapshots[] { makeSnapshot(before), makeSnapshot(after) };
    std::size_t count {};
    for (auto _ : state)
        engine.applySnapshot(snapshots[++count % 2], now);
}
BENCHMARK(epochChange)->Arg(1)->Arg(10)->Arg(1000)->Unit(benchmark::kMicrosecond);

/// Scans the full tables for flows that keep an epoch from being retired; one iteration is one advance() by
/// 100 ms.
void retirementScan(benchmark::State& state)
{
    const service_config service = makeService(1);
    packet_engine engine = makeLoadedEngine(service);
    engine.applySnapshot(makeSnapshot({ makeDrainedService(1) }), now);
    timestamp time = now;
    for (auto _ : state) {
        time = time + std::chrono::milliseconds { 100 };
        benchmark::DoNotOptimize(engine.advance(time));
    }
}
BENCHMARK(retirementScan)->Iterations(1000)->Unit(benchmark::kMicrosecond);

} // namespace
