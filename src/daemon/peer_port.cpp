#include "peer_port.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <span>

namespace shallotcove::daemon {

namespace {

    // More than the 1,625 hosts of a data centre and the contact hosts of the others.
    constexpr std::size_t maximumSenders = 4096;

} // namespace

peer_port::peer_port(
    udp_socket socket, const wire::peer_key& key, core::host_id self, std::uint64_t incarnation)
    : m_socket(std::move(socket))
    , m_key(key)
    , m_envelope { self, incarnation, 0 }
    , m_filter(wire::replay_filter::create(maximumSenders))
    // One byte longer than the maximum, so that a message that is too long can be detected.
    , m_buffer(core::maximumPeerMessageBytes + 1)
{
}

std::optional<peer_datagram> peer_port::receive()
{
    while (true) {
        sockaddr_storage source {};
        socklen_t sourceLength = sizeof source;
        const ssize_t length = ::recvfrom(m_socket.descriptor(), m_buffer.data(), m_buffer.size(),
            MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&source), &sourceLength);
        if (length < 0 && errno == EINTR)
            continue;
        if (length < 0)
            return std::nullopt;
        m_counters.receivedBytes += static_cast<std::uint64_t>(length);
        const core::socket_address from = fromNative(source);
        if (static_cast<std::size_t>(length) > core::maximumPeerMessageBytes) {
            drop(wire::peer_codec_error::TooLong, from);
            continue;
        }
        const std::span<const std::byte> bytes(m_buffer.data(), static_cast<std::size_t>(length));
        tl::expected<wire::received_message, wire::peer_codec_error> received
            = wire::decodePeerMessage(bytes, m_key);
        if (!received) {
            drop(received.error(), from);
            continue;
        }
        // A host sends no messages to itself, so one that carries its own id was replayed by another sender.
        if (received->envelope.sender == m_envelope.sender || !m_filter.accept(received->envelope)) {
            drop(wire::peer_codec_error::Replayed, from);
            continue;
        }
        return peer_datagram { received->envelope.sender, from, std::move(received->message) };
    }
}

void peer_port::send(const core::peer_message& message, const core::socket_address& to)
{
    ++m_envelope.sequence;
    const tl::expected<std::vector<std::byte>, wire::peer_codec_error> bytes
        = wire::encodePeerMessage(m_envelope, message, m_key);
    if (!bytes) {
        ++m_counters.sendFailed;
        m_counters.lastSendFailure
            = "message longer than " + std::to_string(core::maximumPeerMessageBytes) + " bytes";
        return;
    }
    const native_address native = toNative(to);
    const ssize_t sent = ::sendto(m_socket.descriptor(), bytes->data(), bytes->size(), MSG_DONTWAIT,
        reinterpret_cast<const sockaddr*>(&native.storage), native.length);
    if (sent < 0) {
        ++m_counters.sendFailed;
        m_counters.lastSendFailure = std::strerror(errno);
        return;
    }
    m_counters.sentBytes += static_cast<std::uint64_t>(sent);
}

void peer_port::drop(wire::peer_codec_error error, const core::socket_address& from)
{
    ++m_counters
          .dropped[std::min<std::size_t>(static_cast<std::size_t>(error), m_counters.dropped.size() - 1)];
    m_counters.lastDroppedSender = from.toString();
}

} // namespace shallotcove::daemon
