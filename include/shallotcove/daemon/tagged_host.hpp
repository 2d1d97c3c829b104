#pragma once

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/host.hpp>
#include <shallotcove/daemon/tagged_settings.hpp>

namespace shallotcove::daemon {

struct tagged_host_addresses {
    core::socket_address packets;
    core::socket_address peers;
    core::socket_address readiness;
    core::socket_address metrics;
};

/// An entry host on the tagged transport, whose packets carry the tag of their backend server.
class tagged_host {
public:
    /// Opens all sockets. The settings file is reloaded when it changes and on SIGHUP.
    static tl::expected<std::unique_ptr<tagged_host>, start_failure> create(
        const tagged_settings&, const std::string& settingsFile, event_log&);

    ~tagged_host();

    /// Serves until SIGTERM or SIGINT, then until callers have moved to other hosts or the shutdown time-out
    /// is over.
    void run();
    /// Makes run() shut down gracefully, as on SIGTERM. May be called by any thread.
    void stop();
    tagged_host_addresses addresses() const;

private:
    class implementation;
    explicit tagged_host(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
