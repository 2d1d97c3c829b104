// Processor time of the load reports of 30 neighbours for 150 servers: encoding, decoding, and applying them.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include <shallotcove/steering/routing_config.hpp>
#include <shallotcove/steering/steering_engine.hpp>
#include <shallotcove/wire/neighbour_codec.hpp>

namespace core = shallotcove::core;
namespace steering = shallotcove::steering;
namespace wire = shallotcove::wire;

namespace {

constexpr std::uint32_t neighbours = 30;
constexpr std::uint32_t servers = 150;
constexpr std::uint32_t loadsPerMessage = 75;
// Enough for the flows of all neighbours, so that this host places flows.
constexpr std::uint32_t slots = 64;
constexpr std::chrono::milliseconds interval { 300 };

std::string idOf(std::uint32_t server) { return "i-" + std::to_string(server); }

steering::caller_packet packetOf(std::uint16_t port)
{
    steering::caller_packet packet;
    packet.flow = { 0x64400007, 0xc6120001, port, 443 };
    packet.sequence = 77;
    return packet;
}

/// Sends two requests on one flow, so that the service has long flows.
void sendRequests(steering::steering_engine& engine, std::uint16_t port, core::timestamp now)
{
    steering::caller_packet packet = packetOf(port);
    packet.isOpening = true;
    const steering::server_tag tag = engine.handlePacket(packet, now).tag;
    packet.isOpening = false;
    packet.isAcknowledging = true;
    packet.tag = tag;
    for (std::uint32_t request = 0; request < 2; ++request) {
        packet.acknowledgement = 1000 * request;
        packet.payloadBytes = 200;
        engine.handlePacket(packet, now);
        packet.acknowledgement += 1000;
        packet.payloadBytes = 0;
        engine.handlePacket(packet, now + std::chrono::milliseconds { 40 });
    }
}

void exchange(benchmark::State& state, steering::message_format format, bool hasLongFlows)
{
    steering::steering_options options;
    options.dataCentre = "a";
    steering::steering_engine engine(options);
    steering::routing_config config;
    config.routes = steering::shareRoutes({ { "r", { 0xc6120001, 443 }, { { "booking", 1 } },
        std::chrono::milliseconds { 1200 }, std::chrono::milliseconds { 200 }, 1, {} } });
    engine.applyConfig(std::make_shared<const steering::routing_config>(config));
    core::timestamp now { std::chrono::seconds { 1 } };
    for (std::uint32_t server = 0; server < servers; ++server)
        engine.applyServer(
            { idOf(server), server, "booking", { core::ip_address::fromV4(0x0a000000 + server), 8080 }, "a",
                slots, steering::server_state::Ready, {}, 1000 },
            now);
    engine.setViewComplete(true);
    engine.setLoadReportInterval(interval);
    std::vector<steering::neighbour_message> messages(neighbours);
    for (std::uint32_t host = 0; host < neighbours; ++host) {
        messages[host].dataCentre = "a";
        for (std::uint32_t index = 0; index < loadsPerMessage; ++index) {
            const std::uint32_t server = (5 * host + index) % servers;
            messages[host].loads.push_back({ steering::tagOf(idOf(server)), 1 + index % 3 });
            if (hasLongFlows)
                messages[host].loads.back().establishedFlows = 20;
        }
    }
    std::uint16_t port = 1;
    std::uint32_t round = 0;
    for (auto iteration : state) {
        static_cast<void>(iteration);
        now.sinceStart += interval;
        if (hasLongFlows && ++round % 16 == 1)
            sendRequests(engine, ++port, now);
        for (std::uint32_t host = 0; host < neighbours; ++host) {
            const std::vector<std::byte> bytes = wire::encodeNeighbourMessage(messages[host], format);
            const std::optional<steering::neighbour_message> decoded = wire::decodeNeighbourMessage(bytes);
            engine.applyNeighbourLoads(host, decoded->loads, now);
        }
        engine.advance(now);
        engine.takeEvents();
    }
    if (hasLongFlows == engine.rooms().empty())
        state.SkipWithError("the service has not the kind of flows that is measured");
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations() * neighbours));
}

void version2(benchmark::State& state) { exchange(state, steering::message_format::Version2, false); }
void version3(benchmark::State& state) { exchange(state, steering::message_format::Version3, false); }
void version3LongFlows(benchmark::State& state) { exchange(state, steering::message_format::Version3, true); }

BENCHMARK(version2);
BENCHMARK(version3);
BENCHMARK(version3LongFlows);

} // namespace
