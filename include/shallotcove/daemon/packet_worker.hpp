#pragma once

#include <memory>
#include <variant>

#include <shallotcove/core/packet_engine.hpp>
#include <shallotcove/core/routing_snapshot.hpp>
#include <shallotcove/daemon/handling_sample.hpp>
#include <shallotcove/daemon/packet_counters.hpp>
#include <shallotcove/daemon/packet_report.hpp>
#include <shallotcove/daemon/packet_worker_options.hpp>
#include <shallotcove/daemon/ring.hpp>
#include <shallotcove/daemon/udp_socket.hpp>
#include <shallotcove/wire/peer_key.hpp>

namespace shallotcove::daemon {

/// Sent by the peer thread to the packet thread.
using packet_command = std::variant<std::shared_ptr<const core::routing_snapshot>, core::peer_message>;

/// Owns the packet socket and the packet engine; all calls come from the packet thread.
class packet_worker {
public:
    packet_worker(udp_socket, core::packet_engine, const wire::peer_key&, ring<packet_command>& commands,
        ring<packet_report>& reports, packet_counters&, const packet_worker_options& = {});
    packet_worker(packet_worker&&) noexcept;
    ~packet_worker();

    /// Handles commands and one batch of datagrams, and advances the engine when its period has elapsed.
    /// Waits for datagrams if none are queued.
    void runOnce();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
