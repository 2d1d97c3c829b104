#include "packet_batch.hpp"

#include <cerrno>

namespace shallotcove::daemon {

packet_batch::packet_batch(const packet_batch_options& options)
    : m_options(options)
    , m_bytes(capacity * options.slotBytes())
{
    for (std::size_t i = 0; i < capacity; ++i) {
        m_receivedParts[i]
            = { m_bytes.data() + i * options.slotBytes() + options.headroom, options.maximumDatagram };
        m_received[i].msg_hdr.msg_iov = &m_receivedParts[i];
        m_received[i].msg_hdr.msg_iovlen = 1;
        m_received[i].msg_hdr.msg_name = &m_sources[i];
        m_outgoing[i].msg_hdr.msg_iov = &m_outgoingParts[i];
        m_outgoing[i].msg_hdr.msg_iovlen = 1;
        m_outgoing[i].msg_hdr.msg_name = &m_targets[i].storage;
    }
}

std::size_t packet_batch::receive(const udp_socket& socket)
{
    for (mmsghdr& header : m_received)
        header.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
    const int count = ::recvmmsg(socket.descriptor(), m_received.data(), capacity, MSG_DONTWAIT, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

std::span<std::byte> packet_batch::datagram(std::size_t index)
{
    return { m_bytes.data() + index * m_options.slotBytes() + m_options.headroom, m_received[index].msg_len };
}

bool packet_batch::isTruncated(std::size_t index) const
{
    return (m_received[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

core::socket_address packet_batch::source(std::size_t index) const { return fromNative(m_sources[index]); }

void packet_batch::queue(std::span<const std::byte> bytes, const core::socket_address& to)
{
    m_targets[m_queued] = toNative(to);
    // iovec has no const variant; sendmmsg() only reads the bytes.
    m_outgoingParts[m_queued] = { const_cast<std::byte*>(bytes.data()), bytes.size() };
    m_outgoing[m_queued].msg_hdr.msg_namelen = m_targets[m_queued].length;
    ++m_queued;
}

std::span<std::byte, wire::maximumRefusalBytes> packet_batch::refusalBuffer(std::size_t index)
{
    return m_refusals[index];
}

void packet_batch::send(const udp_socket& socket, relaxed_counter& failed)
{
    std::size_t done = 0;
    while (done < m_queued) {
        const int sent = ::sendmmsg(socket.descriptor(), m_outgoing.data() + done,
            static_cast<unsigned>(m_queued - done), MSG_DONTWAIT);
        if (sent > 0) {
            done += static_cast<std::size_t>(sent);
            continue;
        }
        if (errno == EINTR)
            continue;
        // sendmmsg() failed on the first remaining datagram. The others may have other targets, so only this
        // one is dropped.
        failed.add();
        ++done;
    }
    m_queued = 0;
}

} // namespace shallotcove::daemon
