#pragma once

#include <functional>
#include <memory>

#include <shallotcove/core/control_engine.hpp>
#include <shallotcove/daemon/channels.hpp>
#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/metrics.hpp>
#include <shallotcove/daemon/udp_socket.hpp>
#include <shallotcove/wire/peer_key.hpp>

namespace shallotcove::daemon {

struct peer_worker_options {
    core::duration advancePeriod { std::chrono::milliseconds { 50 } };
    /// Longest wait for a message; bounds the delay of items in the rings.
    int idleWaitMilliseconds { 10 };
    /// Called after a command was pushed into the platform thread's ring.
    std::function<void()> wakePlatform;
};

/// Owns the peer socket and the control engine; all calls come from the peer thread.
class peer_worker {
public:
    /// Takes the host's id and incarnation from self.
    peer_worker(udp_socket, core::control_engine, const core::member& self, const wire::peer_key&, channels&,
        event_log&, metrics&, peer_worker_options);
    peer_worker(peer_worker&&) noexcept;
    ~peer_worker();

    /// Handles waiting messages and ring items, and advances the engine if there were any or when its period
    /// has elapsed.
    void runOnce();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
