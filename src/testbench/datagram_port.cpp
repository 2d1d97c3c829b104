#include "datagram_port.hpp"

#include <boost/asio/buffer.hpp>

#include "endpoints.hpp"

namespace shallotcove::testbench {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    // Holds bursts of thousands of callers without loss. The operating system may grant less.
    constexpr int socketBufferBytes = 8 << 20;
    // Limits the datagrams read per wake-up, so that timers also run under full load.
    constexpr int datagramsPerWakeup = 256;

} // namespace

datagram_port::datagram_port(asio::io_context& context, handler onDatagram)
    : m_socket(context)
    , m_handler(std::move(onDatagram))
{
}

tl::expected<std::unique_ptr<datagram_port>, std::string> datagram_port::create(
    asio::io_context& context, const core::socket_address& address, handler onDatagram)
{
    std::unique_ptr<datagram_port> port(new datagram_port(context, std::move(onDatagram)));
    const endpoint local = toUdpEndpoint(address);
    error_code error;
    port->m_socket.open(local.protocol(), error);
    if (!error)
        port->m_socket.bind(local, error);
    if (!error)
        port->m_socket.non_blocking(true, error);
    if (error)
        return tl::unexpected("cannot bind " + address.toString() + ": " + error.message());
    error_code ignored;
    port->m_socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    port->m_socket.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
    port->awaitReadable();
    return port;
}

core::socket_address datagram_port::address() const
{
    error_code ignored;
    return toAddress(m_socket.local_endpoint(ignored));
}

void datagram_port::send(std::span<const std::byte> datagram, const endpoint& to)
{
    error_code ignored;
    m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), to, 0, ignored);
}

void datagram_port::awaitReadable()
{
    m_socket.async_wait(asio::ip::udp::socket::wait_read, [this](const error_code& error) {
        // The wait is aborted only when this object is destroyed.
        if (error == asio::error::operation_aborted)
            return;
        receive();
        awaitReadable();
    });
}

void datagram_port::receive()
{
    for (int count = 0; count < datagramsPerWakeup; ++count) {
        endpoint from;
        error_code error;
        const std::size_t size = m_socket.receive_from(asio::buffer(m_buffer), from, 0, error);
        if (error == asio::error::would_block)
            return;
        // Other errors concern an earlier datagram that could not be delivered.
        if (!error)
            m_handler(std::span { m_buffer }.first(size), from);
    }
}

} // namespace shallotcove::testbench
