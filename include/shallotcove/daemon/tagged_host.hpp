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

/// An entry host on a transport whose packets carry the tag of their backend server.
class tagged_host {
public:
    /// Opens all sockets. The file is read again when it changes, or at SIGHUP.
    static tl::expected<std::unique_ptr<tagged_host>, start_failure> create(
        const tagged_settings&, const std::string& settingsFile, event_log&);

    ~tagged_host();

    /// Serves until SIGTERM or SIGINT, and then until callers have moved to other hosts.
    void run();
    /// Any thread: ends run() as SIGTERM does.
    void stop();
    tagged_host_addresses addresses() const;

private:
    class implementation;
    explicit tagged_host(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
