#include "signal_shutdown.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>

namespace shallotcove::daemon {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 50 };

} // namespace

signal_shutdown::signal_shutdown(boost::asio::io_context& context, host& host, event_log& log)
    : m_signals(context, SIGTERM, SIGINT)
    , m_pollTimer(context)
    , m_host(host)
    , m_log(log)
{
    waitForSignal();
}

void signal_shutdown::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code& error, int number) {
        if (!error)
            handleSignal(number);
    });
}

void signal_shutdown::handleSignal(int number)
{
    if (std::exchange(m_isShuttingDown, true)) {
        m_log.write<event::ShutdownForced>(number);
        std::_Exit(exitSignalBase + number);
    }
    m_host.beginShutdown(number == SIGTERM ? "SIGTERM" : "SIGINT");
    waitForSignal();
    pollShutdown();
}

void signal_shutdown::pollShutdown()
{
    const shutdown_state state = m_host.shutdownState();
    if (state != shutdown_state::Draining) {
        m_host.reportShutdown(state);
        m_signals.cancel();
        return;
    }
    m_pollTimer.expires_after(pollInterval);
    m_pollTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            pollShutdown();
    });
}

} // namespace shallotcove::daemon
