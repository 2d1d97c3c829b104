#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/host_addresses.hpp>
#include <shallotcove/daemon/host_options.hpp>
#include <shallotcove/daemon/settings.hpp>
#include <shallotcove/daemon/start_failure.hpp>
#include <tl/expected.hpp>

namespace shallotcove::daemon {

enum class shutdown_state : std::uint8_t { Running, Draining, Quiet, TimedOut };

/// One entry host: sockets, threads and the rings between them. create() starts the threads, the destructor
/// stops them.
class host {
public:
    static tl::expected<std::unique_ptr<host>, start_failure> create(
        const settings&, event_log&, const host_options& = {});

    ~host();

    host_addresses addresses() const;
    /// Starts the graceful shutdown that section 7 of docs/design.md describes. Further calls do nothing.
    void beginShutdown(const std::string& cause);
    /// The process may end when this is Quiet or TimedOut.
    shutdown_state shutdownState() const;
    /// Writes the event that ends a graceful shutdown.
    void reportShutdown(shutdown_state) const;

private:
    class implementation;
    explicit host(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
