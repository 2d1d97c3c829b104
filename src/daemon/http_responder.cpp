#include "http_responder.hpp"

#include <chrono>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <shallotcove/store/http_exchange.hpp>

namespace shallotcove::daemon {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

    // Routers send two requests per second, so a connection that is idle for this long is no longer in use.
    constexpr std::chrono::seconds idleTimeout { 30 };
    constexpr std::size_t maximumRequestBytes = 8192;

    class session : public std::enable_shared_from_this<session> {
    public:
        session(tcp::socket socket, const http_responder::handler& handle)
            : m_stream(std::move(socket))
            , m_buffer(maximumRequestBytes)
            , m_handler(handle)
        {
        }

        void read()
        {
            m_request = {};
            m_stream.expires_after(idleTimeout);
            http::async_read(m_stream, m_buffer, m_request,
                [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                    // On an error the client closed the connection or sent something that is not a request,
                    // and the session ends.
                    if (!error)
                        self->answer();
                });
        }

    private:
        void answer()
        {
            const bool isGet = m_request.method() == http::verb::get;
            const beast::string_view target = m_request.target();
            const http_reply reply = isGet ? m_handler({ target.data(), target.size() })
                                           : http_reply { 405, "text/plain", "only GET is answered\n" };
            m_response = { static_cast<http::status>(reply.status), m_request.version() };
            m_response.set(http::field::content_type, reply.contentType);
            m_response.body() = reply.body;
            m_response.keep_alive(m_request.keep_alive());
            m_response.prepare_payload();
            http::async_write(m_stream, m_response,
                [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                    if (!error && self->m_response.keep_alive())
                        self->read();
                });
        }

        beast::tcp_stream m_stream;
        beast::flat_buffer m_buffer;
        http::request<http::empty_body> m_request;
        http::response<http::string_body> m_response;
        http_responder::handler m_handler;
    };

} // namespace

class http_responder::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, handler handle)
        : m_acceptor(context)
        , m_handler(std::move(handle))
    {
    }

    boost::system::error_code listen(const core::socket_address& address)
    {
        const tcp::endpoint endpoint = store::toEndpoint(address);
        boost::system::error_code error;
        m_acceptor.open(endpoint.protocol(), error);
        if (!error)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(endpoint, error);
        if (!error)
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (!error)
            m_address = { address.address, m_acceptor.local_endpoint(error).port() };
        return error;
    }

    void accept()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](const boost::system::error_code& error, tcp::socket socket) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                    std::make_shared<session>(std::move(socket), self->m_handler)->read();
                self->accept();
            });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

    core::socket_address address() const { return m_address; }

private:
    tcp::acceptor m_acceptor;
    handler m_handler;
    core::socket_address m_address;
};

tl::expected<std::unique_ptr<http_responder>, std::string> http_responder::create(
    asio::io_context& context, const core::socket_address& address, handler handle)
{
    const std::shared_ptr<implementation> inner
        = std::make_shared<implementation>(context, std::move(handle));
    const boost::system::error_code error = inner->listen(address);
    if (error)
        return tl::unexpected(error.message());
    inner->accept();
    return std::unique_ptr<http_responder>(new http_responder(inner));
}

http_responder::http_responder(std::shared_ptr<implementation> inner)
    : m_implementation(std::move(inner))
{
}

http_responder::~http_responder() { m_implementation->close(); }

core::socket_address http_responder::address() const { return m_implementation->address(); }

} // namespace shallotcove::daemon
