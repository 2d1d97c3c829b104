#pragma once

// Test fixture: an engine with one service that has three servers in each of two data centres.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <shallotcove/steering/routing_config.hpp>
#include <shallotcove/steering/steering_engine.hpp>

namespace shallotcove::steering::testing {

inline core::timestamp at(double milliseconds)
{
    return { std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli> { 1000 + milliseconds }) };
}

inline constexpr std::uint32_t serviceAddress = 0xc6120001;
inline constexpr std::uint16_t servicePort = 443;

inline server_entry serverEntry(const std::string& id, const std::string& dataCentre = "a",
    const std::string& service = "booking", std::uint16_t port = 8080)
{
    const std::uint32_t number
        = static_cast<std::uint32_t>(std::stoul(id.substr(id.rfind('-') + 1), nullptr, 16));
    return { id, number, service, { core::ip_address::fromV4(0x0a000000 + number), port }, dataCentre, 3,
        server_state::Ready, {}, 1000 };
}

/// Two servers with the same tag, the one that started first at the front.
inline std::pair<server_entry, server_entry> serversWithOneTag()
{
    std::unordered_map<server_tag, std::string> ids;
    for (std::uint32_t number = 1;; ++number) {
        const std::string id = "i-" + std::to_string(number);
        const auto [found, isNew] = ids.try_emplace(tagOf(id), id);
        if (isNew)
            continue;
        std::pair<server_entry, server_entry> servers(serverEntry(id), serverEntry(found->second));
        servers.second.startedAtMs += 1000;
        return servers;
    }
}

inline route routeTo(std::vector<weighted_service> targets, std::uint16_t port = servicePort)
{
    return { "r" + std::to_string(port), { serviceAddress, port }, std::move(targets),
        std::chrono::milliseconds { 1200 }, std::chrono::milliseconds { 200 }, 1, {} };
}

inline std::shared_ptr<const routing_config> configOf(
    std::vector<route> routes, double coldFlowsPerSecond = 0)
{
    return std::make_shared<const routing_config>(routing_config { 1, shareRoutes(std::move(routes)),
        { { "booking", std::chrono::milliseconds { 2000 }, coldFlowsPerSecond } } });
}

inline steering_options optionsOf(const std::string& dataCentre = "a")
{
    steering_options options;
    options.dataCentre = dataCentre;
    options.assumedNeighbours = 0;
    return options;
}

/// An engine that has a complete view: a configuration, servers 1 to 3 in data centre a and 4 to 6 in b.
inline steering_engine engineWithCompleteView(steering_options options = optionsOf())
{
    steering_engine engine(std::move(options));
    engine.applyConfig(configOf({ routeTo({ { "booking", 1 } }) }));
    for (int number = 1; number <= 6; ++number)
        engine.applyServer(serverEntry("i-" + std::to_string(number), number <= 3 ? "a" : "b"), at(0));
    engine.setViewComplete(true);
    return engine;
}

inline flow_address flowOf(std::uint16_t callerPort, std::uint16_t port = servicePort)
{
    return { 0x64400007, serviceAddress, callerPort, port };
}

inline caller_packet openingPacket(
    std::uint16_t callerPort, std::uint32_t copy = 0, std::uint16_t port = servicePort)
{
    caller_packet packet;
    packet.flow = flowOf(callerPort, port);
    packet.isOpening = true;
    packet.sequence = 77;
    packet.acknowledgement = copy;
    packet.age = std::chrono::milliseconds { copy == 0 ? 0 : copy == 1 ? 200 : 600 };
    return packet;
}

/// A packet of the flow after its opening packet.
inline caller_packet laterPacket(std::uint16_t callerPort, server_tag tag, std::uint16_t payloadBytes = 0,
    bool isClosing = false, std::uint32_t received = 0)
{
    caller_packet packet;
    packet.flow = flowOf(callerPort);
    packet.isAcknowledging = true;
    packet.isClosing = isClosing;
    packet.sequence = 78;
    packet.acknowledgement = received;
    packet.payloadBytes = payloadBytes;
    packet.tag = tag;
    return packet;
}

/// Opens a flow through the engine and returns the tag of its server.
inline server_tag openFlow(steering_engine& engine, std::uint16_t callerPort, double milliseconds)
{
    const packet_decision first = engine.handlePacket(openingPacket(callerPort), at(milliseconds));
    engine.handlePacket(laterPacket(callerPort, first.tag, 200), at(milliseconds + 8));
    return first.tag;
}

/// Offers count new flows from consecutive caller ports at the same time and returns how many were forwarded.
inline int countForwarded(steering_engine& engine, std::uint16_t firstPort, int count, double milliseconds)
{
    int forwarded = 0;
    for (int index = 0; index < count; ++index) {
        const packet_decision decision = engine.handlePacket(
            openingPacket(static_cast<std::uint16_t>(firstPort + index)), at(milliseconds));
        forwarded += decision.action == packet_action::Forward ? 1 : 0;
    }
    return forwarded;
}

} // namespace shallotcove::steering::testing
