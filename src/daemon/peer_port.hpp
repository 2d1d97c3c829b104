#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "packet_batch.hpp"
#include "peer_datagram.hpp"
#include "peer_port_counters.hpp"
#include <shallotcove/core/ids.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/core/peer_message.hpp>
#include <shallotcove/daemon/udp_socket.hpp>
#include <shallotcove/wire/peer_codec.hpp>
#include <shallotcove/wire/peer_key.hpp>
#include <shallotcove/wire/replay_filter.hpp>

namespace shallotcove::daemon {

/// Sends and receives peer messages over UDP. Adds and checks their envelopes and checksums, and filters
/// replayed messages.
class peer_port {
public:
    peer_port(udp_socket, const wire::peer_key&, core::host_id self, std::uint64_t incarnation);

    /// The next valid message; empty if no datagram is queued. Invalid messages are counted and skipped.
    std::optional<peer_datagram> receive();
    void send(const core::peer_message&, const core::socket_address& to);
    bool waitReadable(int timeoutMilliseconds) const { return m_socket.waitReadable(timeoutMilliseconds); }

    const peer_port_counters& counters() const { return m_counters; }

private:
    void drop(wire::peer_codec_error, const core::socket_address& from);

    udp_socket m_socket;
    wire::peer_key m_key;
    wire::peer_envelope m_envelope;
    wire::replay_filter m_filter;
    peer_port_counters m_counters;
    std::vector<std::byte> m_buffer;
};

} // namespace shallotcove::daemon
