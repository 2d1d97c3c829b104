#pragma once

#include <chrono>
#include <deque>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <shallotcove/daemon/channels.hpp>

namespace shallotcove::daemon {

/// Passes reports to the peer thread in order, and queues those for which the ring has no room. The queue is
/// not bounded, because few reports arise: the planner limits its writes, and watch answers and host lists
/// come one after the other.
class report_outbox {
public:
    report_outbox(boost::asio::io_context& context, ring<platform_report>& target)
        : m_timer(context)
        , m_target(target)
    {
    }

    void send(platform_report report)
    {
        m_pending.push_back(std::move(report));
        flush();
    }

private:
    static constexpr std::chrono::milliseconds retryInterval { 10 };

    void flush()
    {
        while (!m_pending.empty() && m_target.tryPush(std::move(m_pending.front())))
            m_pending.pop_front();
        if (m_pending.empty() || m_isRetrying)
            return;
        m_isRetrying = true;
        m_timer.expires_after(retryInterval);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            m_isRetrying = false;
            if (!error)
                flush();
        });
    }

    boost::asio::steady_timer m_timer;
    ring<platform_report>& m_target;
    std::deque<platform_report> m_pending;
    bool m_isRetrying {};
};

} // namespace shallotcove::daemon
