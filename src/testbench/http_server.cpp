#include "http_server.hpp"

#include <algorithm>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "endpoints.hpp"
#include "http_session.hpp"

namespace shallotcove::testbench {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, http_handler handler)
        : m_acceptor(context)
        , m_handler(std::move(handler))
    {
    }

    error_code listen(const tcp::endpoint& endpoint)
    {
        error_code error;
        m_acceptor.open(endpoint.protocol(), error);
        if (!error)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(endpoint, error);
        if (!error)
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return error;
        m_endpoint = m_acceptor.local_endpoint(error);
        accept();
        return error;
    }

    void suspend()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        for (const std::weak_ptr<http_session>& session : m_sessions)
            if (const std::shared_ptr<http_session> open = session.lock())
                open->close();
        m_sessions.clear();
    }

    tcp::endpoint endpoint() const { return m_endpoint; }
    bool isListening() const { return m_acceptor.is_open(); }

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
            if (!self->m_acceptor.is_open())
                return;
            if (!error)
                self->startSession(std::move(socket));
            self->accept();
        });
    }

    void startSession(tcp::socket socket)
    {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::erase_if(m_sessions, [](const std::weak_ptr<http_session>& old) { return old.expired(); });
        const std::shared_ptr<http_session> session
            = std::make_shared<http_session>(std::move(socket), m_handler);
        m_sessions.push_back(session);
        session->start();
    }

    tcp::acceptor m_acceptor;
    http_handler m_handler;
    tcp::endpoint m_endpoint;
    std::vector<std::weak_ptr<http_session>> m_sessions;
};

http_server::http_server(std::shared_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

http_server::~http_server() { m_implementation->suspend(); }

tl::expected<std::unique_ptr<http_server>, std::string> http_server::create(
    asio::io_context& context, const core::socket_address& address, http_handler handler)
{
    std::shared_ptr<implementation> state = std::make_shared<implementation>(context, std::move(handler));
    const error_code error = state->listen(toTcpEndpoint(address));
    if (error)
        return tl::unexpected("cannot listen on " + address.toString() + ": " + error.message());
    return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

core::socket_address http_server::address() const { return toAddress(m_implementation->endpoint()); }

void http_server::suspend() { m_implementation->suspend(); }

bool http_server::resume()
{
    return m_implementation->isListening() || !m_implementation->listen(m_implementation->endpoint());
}

} // namespace shallotcove::testbench
