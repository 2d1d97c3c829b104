#pragma once

#include <utility>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::store {

/// One connection that sends a request and hands over each line of the streamed answer until it ends.
class watch_stream {
public:
    struct callbacks {
        std::function<void()> onSent;
        /// False ends the stream; onEnd is not called then.
        std::function<bool(std::string_view line)> onLine;
        /// The connection failed, ended or answered with an error.
        std::function<void()> onEnd;
    };

    /// The time-out covers connecting, sending and the head of the answer; afterwards TCP keep-alive finds a
    /// peer that is gone.
    static std::unique_ptr<watch_stream> open(boost::asio::io_context&, const core::socket_address&,
        const std::string& target, const std::string& body, std::chrono::milliseconds timeout, callbacks);

    /// Ends the stream; no callback is called any more.
    ~watch_stream();

private:
    class implementation;
    explicit watch_stream(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::store
