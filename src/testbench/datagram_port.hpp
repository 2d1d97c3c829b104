#pragma once

#include <utility>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::testbench {

/// A UDP socket that passes received datagrams to a handler on the thread of the io_context.
class datagram_port {
public:
    using endpoint = boost::asio::ip::udp::endpoint;
    using handler = std::function<void(std::span<const std::byte>, const endpoint& from)>;

    static tl::expected<std::unique_ptr<datagram_port>, std::string> create(
        boost::asio::io_context&, const core::socket_address&, handler);

    core::socket_address address() const;
    /// Sends without blocking. A datagram that the operating system does not accept is lost, as on a network.
    void send(std::span<const std::byte>, const endpoint& to);

private:
    datagram_port(boost::asio::io_context&, handler);
    void awaitReadable();
    void receive();

    boost::asio::ip::udp::socket m_socket;
    handler m_handler;
    std::array<std::byte, 65536> m_buffer {};
};

} // namespace shallotcove::testbench
