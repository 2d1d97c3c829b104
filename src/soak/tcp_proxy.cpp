#include "tcp_proxy.hpp"

#include <array>
#include <chrono>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "testbench/endpoints.hpp"

namespace shallotcove::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    // Longer than a slow response of the store, shorter than the timeouts of its clients.
    constexpr std::chrono::milliseconds forwardDelay { 400 };

    /// A client connection and the connection to the server, with bytes forwarded between them.
    class proxied_connection : public std::enable_shared_from_this<proxied_connection> {
    public:
        proxied_connection(tcp::socket client, proxy_mode mode)
            : m_client { std::move(client), {}, {} }
            , m_server { tcp::socket(m_client.socket.get_executor()), {}, {} }
        {
            applyMode(mode);
        }

        void start(const tcp::endpoint& target)
        {
            m_server.socket.async_connect(target, [self = shared_from_this()](const error_code& error) {
                if (error)
                    return self->closeBoth();
                self->forward(self->m_client, self->m_server, self->m_areRequestsDropped);
                self->forward(self->m_server, self->m_client, self->m_areResponsesDropped);
            });
        }

        void applyMode(proxy_mode mode)
        {
            m_isDelayed = mode == proxy_mode::Delayed;
            m_areRequestsDropped = m_areRequestsDropped || mode == proxy_mode::Blackhole;
            m_areResponsesDropped = m_areResponsesDropped || mode == proxy_mode::Blackhole
                || mode == proxy_mode::ResponsesDropped;
            if (mode == proxy_mode::Reset)
                reset();
        }

        bool isOpen() const { return m_client.socket.is_open(); }

    private:
        struct side {
            tcp::socket socket;
            std::array<char, 16384> buffer {};
            std::vector<char> pending;
        };

        void forward(side& from, side& to, const bool& isDropped)
        {
            from.socket.async_read_some(asio::buffer(from.buffer),
                [self = shared_from_this(), &from, &to, &isDropped](
                    const error_code& error, std::size_t size) {
                    // Bytes of this direction are dropped, so its close is not forwarded either.
                    if (error)
                        return isDropped ? void() : self->closeBoth();
                    if (isDropped)
                        return self->forward(from, to, isDropped);
                    self->write(from, to, isDropped, size);
                });
        }

        void write(side& from, side& to, const bool& isDropped, std::size_t size)
        {
            from.pending.assign(from.buffer.data(), from.buffer.data() + size);
            const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(
                from.socket.get_executor(), m_isDelayed ? forwardDelay : std::chrono::milliseconds { 0 });
            timer->async_wait([self = shared_from_this(), timer, &from, &to, &isDropped](const error_code&) {
                asio::async_write(to.socket, asio::buffer(from.pending),
                    [self, &from, &to, &isDropped](const error_code& error, std::size_t) {
                        if (error)
                            self->closeBoth();
                        else
                            self->forward(from, to, isDropped);
                    });
            });
        }

        void closeBoth()
        {
            error_code ignored;
            m_client.socket.close(ignored);
            m_server.socket.close(ignored);
        }

        void reset()
        {
            error_code ignored;
            m_client.socket.set_option(asio::socket_base::linger(true, 0), ignored);
            closeBoth();
        }

        side m_client;
        side m_server;
        bool m_isDelayed {};
        bool m_areRequestsDropped {};
        bool m_areResponsesDropped {};
    };

} // namespace

class tcp_proxy::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, const core::socket_address& target)
        : m_acceptor(context)
        , m_target(testbench::toTcpEndpoint(target))
    {
    }

    error_code listen()
    {
        error_code error;
        const tcp::endpoint local(asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(local.protocol(), error);
        if (!error)
            m_acceptor.bind(local, error);
        if (!error)
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (!error)
            accept();
        return error;
    }

    void setMode(proxy_mode mode)
    {
        m_mode = mode;
        std::erase_if(m_connections,
            [](const std::weak_ptr<proxied_connection>& weakConnection) { return weakConnection.expired(); });
        for (const std::weak_ptr<proxied_connection>& weakConnection : m_connections) {
            if (const std::shared_ptr<proxied_connection> connection = weakConnection.lock())
                connection->applyMode(mode);
        }
    }

    void close()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        setMode(proxy_mode::Reset);
    }

    core::socket_address address() const
    {
        error_code ignored;
        return testbench::toAddress(m_acceptor.local_endpoint(ignored));
    }

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                self->startConnection(std::move(socket));
            self->accept();
        });
    }

    void startConnection(tcp::socket socket)
    {
        const std::shared_ptr<proxied_connection> connection
            = std::make_shared<proxied_connection>(std::move(socket), m_mode);
        if (!connection->isOpen())
            return;
        m_connections.push_back(connection);
        connection->start(m_target);
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    proxy_mode m_mode { proxy_mode::Forward };
    std::vector<std::weak_ptr<proxied_connection>> m_connections;
};

tcp_proxy::tcp_proxy(std::shared_ptr<implementation> inner)
    : m_implementation(std::move(inner))
{
}

tcp_proxy::~tcp_proxy() { m_implementation->close(); }

tl::expected<std::unique_ptr<tcp_proxy>, std::string> tcp_proxy::create(
    asio::io_context& context, const core::socket_address& target)
{
    std::shared_ptr<implementation> inner = std::make_shared<implementation>(context, target);
    const error_code error = inner->listen();
    if (error)
        return tl::unexpected("cannot listen on the proxy address: " + error.message());
    return std::unique_ptr<tcp_proxy>(new tcp_proxy(std::move(inner)));
}

core::socket_address tcp_proxy::address() const { return m_implementation->address(); }

void tcp_proxy::setMode(proxy_mode mode) { m_implementation->setMode(mode); }

} // namespace shallotcove::soak
