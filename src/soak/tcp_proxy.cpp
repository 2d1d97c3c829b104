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

    // More than a slow answer of the store, less than the time-outs of its callers.
    constexpr std::chrono::milliseconds delay { 400 };

    /// Two connections whose bytes are passed on to each other.
    class proxied_pair : public std::enable_shared_from_this<proxied_pair> {
    public:
        proxied_pair(tcp::socket caller, proxy_mode mode)
            : m_caller { std::move(caller), {}, {} }
            , m_server { tcp::socket(m_caller.socket.get_executor()), {}, {} }
        {
            harm(mode);
        }

        void start(const tcp::endpoint& target)
        {
            m_server.socket.async_connect(target, [self = shared_from_this()](const error_code& error) {
                if (error)
                    return self->end();
                self->pass(self->m_caller, self->m_server, self->m_isRequestLost);
                self->pass(self->m_server, self->m_caller, self->m_isAnswerLost);
            });
        }

        void harm(proxy_mode mode)
        {
            m_isDelayed = mode == proxy_mode::Delayed;
            m_isRequestLost = m_isRequestLost || mode == proxy_mode::Silent;
            m_isAnswerLost = m_isAnswerLost || mode == proxy_mode::Silent || mode == proxy_mode::AnswersLost;
            if (mode == proxy_mode::Reset)
                reset();
        }

        bool isOpen() const { return m_caller.socket.is_open(); }

    private:
        struct side {
            tcp::socket socket;
            std::array<char, 16384> buffer {};
            std::vector<char> late;
        };

        void pass(side& from, side& to, const bool& isLost)
        {
            from.socket.async_read_some(asio::buffer(from.buffer),
                [self = shared_from_this(), &from, &to, &isLost](const error_code& error, std::size_t size) {
                    // A side that closes a silent connection is not heard by the other either.
                    if (error)
                        return isLost ? void() : self->end();
                    if (isLost)
                        return self->pass(from, to, isLost);
                    self->write(from, to, isLost, size);
                });
        }

        void write(side& from, side& to, const bool& isLost, std::size_t size)
        {
            from.late.assign(from.buffer.data(), from.buffer.data() + size);
            const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(
                from.socket.get_executor(), m_isDelayed ? delay : std::chrono::milliseconds { 0 });
            timer->async_wait([self = shared_from_this(), timer, &from, &to, &isLost](const error_code&) {
                asio::async_write(to.socket, asio::buffer(from.late),
                    [self, &from, &to, &isLost](const error_code& error, std::size_t) {
                        if (error)
                            self->end();
                        else
                            self->pass(from, to, isLost);
                    });
            });
        }

        void end()
        {
            error_code ignored;
            m_caller.socket.close(ignored);
            m_server.socket.close(ignored);
        }

        void reset()
        {
            error_code ignored;
            m_caller.socket.set_option(asio::socket_base::linger(true, 0), ignored);
            end();
        }

        side m_caller;
        side m_server;
        bool m_isDelayed {};
        bool m_isRequestLost {};
        bool m_isAnswerLost {};
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
        std::erase_if(m_pairs, [](const std::weak_ptr<proxied_pair>& old) { return old.expired(); });
        for (const std::weak_ptr<proxied_pair>& known : m_pairs) {
            if (const std::shared_ptr<proxied_pair> open = known.lock())
                open->harm(mode);
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
                self->begin(std::move(socket));
            self->accept();
        });
    }

    void begin(tcp::socket socket)
    {
        const std::shared_ptr<proxied_pair> pair = std::make_shared<proxied_pair>(std::move(socket), m_mode);
        if (!pair->isOpen())
            return;
        m_pairs.push_back(pair);
        pair->start(m_target);
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    proxy_mode m_mode { proxy_mode::Pass };
    std::vector<std::weak_ptr<proxied_pair>> m_pairs;
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
        return tl::unexpected("cannot listen for a proxy: " + error.message());
    return std::unique_ptr<tcp_proxy>(new tcp_proxy(std::move(inner)));
}

core::socket_address tcp_proxy::address() const { return m_implementation->address(); }

void tcp_proxy::setMode(proxy_mode mode) { m_implementation->setMode(mode); }

} // namespace shallotcove::soak
