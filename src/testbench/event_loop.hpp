#pragma once

#include <utility>

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace shallotcove::testbench {

/// Runs the context until the condition holds. Returns false if the timeout expires first.
inline bool runUntil(boost::asio::io_context& context, const std::function<bool()>& condition,
    std::chrono::milliseconds timeout = std::chrono::seconds { 10 })
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        context.restart();
        context.run_one_for(std::chrono::milliseconds { 50 });
    }
    return true;
}

} // namespace shallotcove::testbench
