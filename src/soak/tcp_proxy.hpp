#pragma once

#include <utility>

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::soak {

enum class proxy_mode : std::uint8_t {
    Forward,
    /// Bytes are forwarded with a delay.
    Delayed,
    /// Open and new connections are reset.
    Reset,
    /// Open and new connections drop all bytes, and keep doing so after the mode changes.
    Blackhole,
    /// Requests are forwarded and responses dropped; open and new connections keep doing so after the mode
    /// changes.
    ResponsesDropped,
};

/// TCP proxy between a host and the store that can delay, reset or drop its connections.
class tcp_proxy {
public:
    /// Listens on a free port of the loopback address.
    static tl::expected<std::unique_ptr<tcp_proxy>, std::string> create(
        boost::asio::io_context&, const core::socket_address& target);

    ~tcp_proxy();

    core::socket_address address() const;
    void setMode(proxy_mode);

private:
    class implementation;
    explicit tcp_proxy(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::soak
