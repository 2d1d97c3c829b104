#pragma once

// Sockets, packets and configuration shared by the tests of the packet path.

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <shallotcove/core/routing_snapshot.hpp>
#include <shallotcove/daemon/udp_socket.hpp>
#include <shallotcove/wire/caller_packet.hpp>
#include <shallotcove/wire/segment.hpp>

namespace shallotcove::daemon::testing {

inline core::socket_address parsedAddress(const std::string& text)
{
    return *core::socket_address::parse(text);
}

inline udp_socket loopbackSocket() { return std::move(*udp_socket::bind(parsedAddress("127.0.0.1:0"))); }

inline const core::socket_address serviceAddress = parsedAddress("192.0.2.1:443");

/// A caller's TCP segment encapsulated in GUE, as the fabric sends it.
inline std::vector<std::byte> gueSegment(
    std::uint16_t callerPort, std::uint8_t flags, std::size_t payload = 0)
{
    const std::vector<std::byte> content(payload, std::byte { 0x5a });
    wire::segment segment;
    segment.source = parsedAddress("198.51.100.7:" + std::to_string(callerPort));
    segment.destination = serviceAddress;
    segment.sequence = 1000;
    segment.flags = flags;
    segment.payload = content;
    std::vector<std::byte> datagram(wire::gueHeaderBytes + payload + 128);
    const std::size_t length = wire::buildSegment(segment, std::span(datagram).subspan(wire::gueHeaderBytes));
    datagram.resize(wire::gueHeaderBytes + length);
    wire::writeGueHeader(std::span(datagram).first<wire::gueHeaderBytes>(), 4);
    return datagram;
}

inline void sendDatagram(
    const udp_socket& from, const core::socket_address& to, const std::vector<std::byte>& bytes)
{
    const native_address target = toNative(to);
    ::sendto(from.descriptor(), bytes.data(), bytes.size(), 0,
        reinterpret_cast<const sockaddr*>(&target.storage), target.length);
}

/// The next queued datagram; empty if there is none.
inline std::vector<std::byte> receiveDatagram(const udp_socket& socket)
{
    std::vector<std::byte> buffer(10000);
    const ssize_t length = ::recv(socket.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    buffer.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return buffer;
}

inline core::service_config serviceWith(const std::vector<core::socket_address>& servers)
{
    core::service_config service;
    service.id = { 7 };
    service.name = "rezervari";
    service.address = serviceAddress;
    core::epoch_plan epoch { { 1 }, core::epoch_phase::Active, {} };
    for (const core::socket_address& address : servers) {
        const core::backend_server_id id { static_cast<std::uint32_t>(service.servers.size() + 1) };
        core::backend_server server;
        server.id = id;
        server.dataCentre = "buc-a";
        server.address = address;
        service.servers.push_back(server);
        epoch.servers.push_back({ id, 100 });
    }
    service.epochs = { epoch };
    return service;
}

} // namespace shallotcove::daemon::testing
