#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/host.hpp>

namespace shallotcove::daemon {

/// A process that a second signal ends exits with this code plus the signal's number, as shells report a
/// process that was killed by a signal.
inline constexpr int exitSignalBase = 128;

/// Shuts the host down gracefully on SIGTERM or SIGINT, and ends the process at once on a second signal. When
/// the shutdown is complete, the context runs out of work and its run() returns.
class signal_shutdown {
public:
    signal_shutdown(boost::asio::io_context&, host&, event_log&);

private:
    void waitForSignal();
    void handleSignal(int number);
    void pollShutdown();

    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_pollTimer;
    host& m_host;
    event_log& m_log;
    bool m_isShuttingDown {};
};

} // namespace shallotcove::daemon
