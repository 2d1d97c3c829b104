#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <sys/socket.h>
#include <vector>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/packet_counters.hpp>
#include <shallotcove/daemon/udp_socket.hpp>
#include <shallotcove/wire/caller_packet.hpp>
#include <shallotcove/wire/redirect_codec.hpp>

namespace shallotcove::daemon {

struct packet_batch_options {
    /// Free bytes in front of a received datagram. The default is the length of a redirect prefix and a GUE
    /// header.
    std::size_t headroom { wire::redirectPrefixBytes + wire::gueHeaderBytes };
    /// Longer datagrams are truncated. The default is the payload of a jumbo frame.
    std::size_t maximumDatagram { 9000 };

    std::size_t slotBytes() const { return headroom + maximumDatagram; }
};

/// Buffers for a batch of datagrams that is received with one system call and sent with another. The headroom
/// in front of each received datagram allows headers to be replaced in place, so packets are never copied.
class packet_batch {
public:
    static constexpr std::size_t capacity = 64;

    explicit packet_batch(const packet_batch_options& options = {});

    /// Receives up to `capacity` queued datagrams without blocking and returns their number.
    std::size_t receive(const udp_socket&);
    std::span<std::byte> datagram(std::size_t index);
    bool isTruncated(std::size_t index) const;
    core::socket_address source(std::size_t index) const;

    /// Queues a datagram to be sent. The bytes must stay valid until send(): they are part of a received
    /// datagram or of refusalBuffer().
    void queue(std::span<const std::byte>, const core::socket_address& to);
    std::span<std::byte, wire::maximumRefusalBytes> refusalBuffer(std::size_t index);
    /// Sends all queued datagrams. Those that the system refuses are counted and dropped.
    void send(const udp_socket&, relaxed_counter& failed);

private:
    packet_batch_options m_options;
    std::vector<std::byte> m_bytes;
    std::array<std::array<std::byte, wire::maximumRefusalBytes>, capacity> m_refusals {};
    std::array<mmsghdr, capacity> m_received {};
    std::array<iovec, capacity> m_receivedParts {};
    std::array<sockaddr_storage, capacity> m_sources {};
    std::array<mmsghdr, capacity> m_outgoing {};
    std::array<iovec, capacity> m_outgoingParts {};
    std::array<native_address, capacity> m_targets {};
    std::size_t m_queued {};
};

} // namespace shallotcove::daemon
