#include <shallotcove/store/http_exchange.hpp>

#include <algorithm>
#include <memory>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace shallotcove::store {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    // Long enough for two unanswered keep-alive probes.
    constexpr std::chrono::seconds deadPeerTimeout { 3 };

    // The parser reads at most as much as the buffer's capacity at a time, and 512 bytes if it has none.
    constexpr std::size_t receiveBufferBytes = 64 * 1024;

    void setTcpOption(asio::ip::tcp::socket& socket, int option, int value)
    {
        // Failures are ignored: without the option a dead peer is detected later, which only delays the next
        // attempt.
        static_cast<void>(::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value));
    }

    /// Whether the response was cut off by the connection, as opposed to being invalid HTTP or too long.
    bool isConnectionError(const beast::error_code& error)
    {
        if (error == http::error::end_of_stream || error == http::error::partial_message)
            return true;
        return error.category() != http::make_error_code(http::error::bad_version).category();
    }

    http_error toHttpError(const beast::error_code& error)
    {
        if (error == http::error::body_limit)
            return http_error::TooLarge;
        return isConnectionError(error) ? http_error::AnswerLost : http_error::Malformed;
    }

    /// Body of a response whose capacity exceeds its size by spareResponseBytes if the response states its
    /// length.
    struct response_body : http::string_body {
        class reader : public http::string_body::reader {
        public:
            template <bool isRequest, class Fields>
            reader(http::header<isRequest, Fields>& header, value_type& body)
                : http::string_body::reader(header, body)
                , m_body(body)
            {
            }

            void init(const boost::optional<std::uint64_t>& length, beast::error_code& error)
            {
                http::string_body::reader::init(length, error);
                if (!error && length)
                    m_body.reserve(static_cast<std::size_t>(*length) + spareResponseBytes);
            }

        private:
            value_type& m_body;
        };
    };

    class exchange : public std::enable_shared_from_this<exchange> {
    public:
        exchange(asio::io_context& context, http_request request, std::function<void()> onSent,
            http_handler handler)
            : m_stream(context)
            , m_request(request.method, request.target, 11)
            , m_onSent(std::move(onSent))
            , m_handler(std::move(handler))
        {
            m_request.body() = std::move(request.body);
            m_parser.body_limit(maximumResponseBytes);
            m_buffer.reserve(receiveBufferBytes);
        }

        void start(const core::socket_address& server, const http_timeouts& timeouts)
        {
            m_request.set(http::field::host, server.toString());
            m_request.set(http::field::content_type, "application/json");
            m_request.keep_alive(false);
            m_request.prepare_payload();
            m_timeouts = timeouts;
            m_stream.expires_after(std::min(timeouts.connect, timeouts.total));
            m_stream.async_connect(
                toEndpoint(server), [self = shared_from_this()](const beast::error_code& error) {
                    if (error)
                        self->finish(tl::unexpected(http_error::NotSent));
                    else
                        self->send();
                });
        }

    private:
        void send()
        {
            setDeadPeerTimeout(m_stream.socket(), deadPeerTimeout);
            m_stream.expires_after(m_timeouts.header.value_or(m_timeouts.total));
            m_onSent();
            http::async_write(m_stream, m_request,
                [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                    // The server may have received the whole request although the write failed.
                    if (error)
                        self->finish(tl::unexpected(http_error::AnswerLost));
                    else
                        self->receiveHeader();
                });
        }

        void receiveHeader()
        {
            http::async_read_header(m_stream, m_buffer, m_parser,
                [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                    if (error)
                        return self->finish(tl::unexpected(toHttpError(error)));
                    if (self->m_timeouts.header)
                        self->m_stream.expires_after(self->m_timeouts.total);
                    self->receive();
                });
        }

        void receive()
        {
            http::async_read(m_stream, m_buffer, m_parser,
                [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                    if (!error)
                        self->finish(http_response {
                            self->m_parser.get().result_int(), std::move(self->m_parser.get().body()) });
                    else
                        self->finish(tl::unexpected(toHttpError(error)));
                });
        }

        void finish(tl::expected<http_response, http_error> result)
        {
            beast::error_code ignored;
            m_stream.socket().close(ignored);
            m_handler(std::move(result));
        }

        beast::tcp_stream m_stream;
        http_timeouts m_timeouts;
        beast::flat_buffer m_buffer;
        http::request<http::string_body> m_request;
        http::response_parser<response_body> m_parser;
        std::function<void()> m_onSent;
        http_handler m_handler;
    };

} // namespace

asio::ip::tcp::endpoint toEndpoint(const core::socket_address& address)
{
    if (address.address.isV4())
        return { asio::ip::address_v4(address.address.toV4()), address.port };
    return { asio::ip::address_v6(address.address.bytes), address.port };
}

void setDeadPeerTimeout(asio::ip::tcp::socket& socket, std::chrono::seconds timeout)
{
    // Probes are sent after one third and two thirds of the timeout.
    const int interval = std::max(1, static_cast<int>(timeout.count()) / 3);
    beast::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setTcpOption(socket, TCP_KEEPIDLE, interval);
    setTcpOption(socket, TCP_KEEPINTVL, interval);
    setTcpOption(socket, TCP_KEEPCNT, 2);
    setTcpOption(socket, TCP_USER_TIMEOUT, static_cast<int>(std::chrono::milliseconds { timeout }.count()));
}

void exchangeHttp(asio::io_context& context, const core::socket_address& server, http_request request,
    const http_timeouts& timeouts, std::function<void()> onSent, http_handler handler)
{
    std::make_shared<exchange>(context, std::move(request), std::move(onSent), std::move(handler))
        ->start(server, timeouts);
}

} // namespace shallotcove::store
