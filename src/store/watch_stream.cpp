#include "watch_stream.hpp"

#include <array>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <shallotcove/store/http_exchange.hpp>

namespace shallotcove::store {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::chrono::seconds deadPeerTimeout { 12 };

} // namespace

class watch_stream::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, callbacks handlers)
        : m_stream(context)
        , m_handlers(std::move(handlers))
    {
        // The body is unlimited because the stream has no end; the length of a line is limited instead.
        m_parser.body_limit(UINT64_MAX);
    }

    void start(const core::socket_address& server, const std::string& target, const std::string& body,
        std::chrono::milliseconds timeout)
    {
        m_request = { http::verb::post, target, 11 };
        m_request.set(http::field::host, server.toString());
        m_request.set(http::field::content_type, "application/json");
        m_request.body() = body;
        m_request.prepare_payload();
        m_stream.expires_after(timeout);
        m_stream.async_connect(
            toEndpoint(server), [self = shared_from_this()](const beast::error_code& error) {
                if (!self->endOnError(error))
                    self->send();
            });
    }

    void stop()
    {
        m_isStopped = true;
        beast::error_code ignored;
        m_stream.socket().close(ignored);
    }

private:
    /// Ends the stream if there is an error. Returns whether the stream has ended, now or before.
    bool endOnError(const beast::error_code& error)
    {
        if (m_isStopped)
            return true;
        if (!error)
            return false;
        end();
        return true;
    }

    void end()
    {
        stop();
        m_handlers.onEnd();
    }

    void send()
    {
        setDeadPeerTimeout(m_stream.socket(), deadPeerTimeout);
        m_handlers.onSent();
        http::async_write(
            m_stream, m_request, [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                if (!self->endOnError(error))
                    self->receiveHeader();
            });
    }

    void receiveHeader()
    {
        http::async_read_header(m_stream, m_buffer, m_parser,
            [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                if (self->endOnError(error))
                    return;
                if (self->m_parser.get().result_int() != 200) {
                    self->end();
                    return;
                }
                self->m_stream.expires_never();
                self->receiveChunk();
            });
    }

    void receiveChunk()
    {
        m_parser.get().body().data = m_chunk.data();
        m_parser.get().body().size = m_chunk.size();
        http::async_read_some(
            m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
                // The chunk buffer is full; the next read returns the rest.
                if (error == http::error::need_buffer)
                    error = {};
                if (self->m_isStopped)
                    return;
                self->processChunk(self->m_chunk.size() - self->m_parser.get().body().size);
                if (self->endOnError(error))
                    return;
                if (self->m_parser.is_done())
                    self->end();
                else
                    self->receiveChunk();
            });
    }

    void processChunk(std::size_t bytes)
    {
        m_unprocessedText.append(m_chunk.data(), bytes);
        std::size_t lineStart = 0;
        for (std::size_t newline = m_unprocessedText.find('\n'); newline != std::string::npos;
             newline = m_unprocessedText.find('\n', lineStart)) {
            const std::string_view line
                = std::string_view { m_unprocessedText }.substr(lineStart, newline - lineStart);
            lineStart = newline + 1;
            if (!line.empty() && !m_handlers.onLine(line))
                stop();
            if (m_isStopped)
                return;
        }
        m_unprocessedText.erase(0, lineStart);
        if (m_unprocessedText.size() > maximumResponseBytes)
            end();
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response_parser<http::buffer_body> m_parser;
    std::array<char, 65536> m_chunk {};
    std::string m_unprocessedText;
    callbacks m_handlers;
    bool m_isStopped {};
};

watch_stream::watch_stream(std::shared_ptr<implementation> shared)
    : m_implementation(std::move(shared))
{
}

watch_stream::~watch_stream() { m_implementation->stop(); }

std::unique_ptr<watch_stream> watch_stream::open(asio::io_context& context,
    const core::socket_address& server, const std::string& target, const std::string& body,
    std::chrono::milliseconds timeout, callbacks handlers)
{
    std::shared_ptr<implementation> shared = std::make_shared<implementation>(context, std::move(handlers));
    shared->start(server, target, body, timeout);
    return std::unique_ptr<watch_stream>(new watch_stream(std::move(shared)));
}

} // namespace shallotcove::store
