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
    /// Bytes in front of a datagram: by default room for a GUE or redirect header in front of the inner
    /// packet.
    std::size_t headroom { wire::redirectPrefixBytes + wire::gueHeaderBytes };
    /// Longer datagrams are truncated; by default the payload of a jumbo frame.
    std::size_t maximumDatagram { 9000 };

    std::size_t slotBytes() const { return headroom + maximumDatagram; }
};

/// Buffers for a batch of datagrams received and sent with one system call each. Received bytes have room in
/// front of them, so that headers are replaced in place and packets are never copied.
class packet_batch {
public:
    static constexpr std::size_t capacity = 64;

    explicit packet_batch(const packet_batch_options& options = {});

    /// Receives what is waiting, without blocking. Gives the number of datagrams.
    std::size_t receive(const udp_socket&);
    std::span<std::byte> datagram(std::size_t index);
    bool isTruncated(std::size_t index) const;
    core::socket_address source(std::size_t index) const;

    /// Queues bytes that stay valid until send(): part of a received datagram or of refusalBuffer().
    void queue(std::span<const std::byte>, const core::socket_address& to);
    std::span<std::byte, wire::maximumRefusalBytes> refusalBuffer(std::size_t index);
    /// Sends everything queued; datagrams that the system refuses are counted and dropped.
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
