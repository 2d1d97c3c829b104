#pragma once

#include <utility>

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace shallotcove::testbench {

/// Timer queue: runs callbacks at given times on a single timer, for thousands of flows.
class timer_queue {
public:
    using clock = std::chrono::steady_clock;

    explicit timer_queue(boost::asio::io_context& context)
        : m_timer(context)
    {
    }

    void runAt(clock::time_point when, std::function<void()> callback)
    {
        const bool isFirst = m_entries.empty() || when < m_entries.top().when;
        m_entries.push({ when, m_nextNumber++, std::move(callback) });
        if (isFirst)
            armTimer();
    }

    void runAfter(clock::duration delay, std::function<void()> callback)
    {
        runAt(clock::now() + delay, std::move(callback));
    }

private:
    struct entry {
        clock::time_point when;
        /// Keeps callbacks with the same time in insertion order.
        std::uint64_t number {};
        std::function<void()> callback;

        bool operator<(const entry& other) const
        {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    void armTimer()
    {
        m_timer.expires_at(m_entries.top().when);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                runDue();
        });
    }

    void runDue()
    {
        const clock::time_point now = clock::now();
        while (!m_entries.empty() && m_entries.top().when <= now) {
            const std::function<void()> callback = m_entries.top().callback;
            m_entries.pop();
            callback();
        }
        if (!m_entries.empty())
            armTimer();
    }

    boost::asio::steady_timer m_timer;
    std::uint64_t m_nextNumber {};
    std::priority_queue<entry> m_entries;
};

} // namespace shallotcove::testbench
