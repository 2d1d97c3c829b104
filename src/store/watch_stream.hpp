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

/// Sends one request on its own connection and passes on each line of the streamed response until it ends.
class watch_stream {
public:
    struct callbacks {
        std::function<void()> onSent;
        /// Called for each line that is not empty. Returning false ends the stream without a call to onEnd.
        std::function<bool(std::string_view line)> onLine;
        /// Called when the connection failed or ended, the HTTP status was not 200, or a line was too long.
        std::function<void()> onEnd;
    };

    /// The timeout covers connecting, sending and the header of the response. After that, TCP keep-alive
    /// detects a peer that has disappeared.
    static std::unique_ptr<watch_stream> open(boost::asio::io_context&, const core::socket_address&,
        const std::string& target, const std::string& body, std::chrono::milliseconds timeout, callbacks);

    /// Ends the stream; no callback is called afterwards.
    ~watch_stream();

private:
    class implementation;
    explicit watch_stream(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::store
