#include "http_session.hpp"

#include <sstream>

#include <boost/asio/write.hpp>

namespace shallotcove::testbench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    constexpr std::uint64_t maximumRequestBytes = std::uint64_t { 64 } << 20;

} // namespace

std::string formatHttpResponse(unsigned status, const std::string& body)
{
    http::response<http::string_body> response { static_cast<http::status>(status), 11, body };
    response.set(http::field::content_type, "application/json");
    response.keep_alive(false);
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    return text.str();
}

http_session::http_session(asio::ip::tcp::socket socket, http_handler handler)
    : m_socket(std::move(socket))
    , m_handler(std::move(handler))
{
}

void http_session::start()
{
    m_parser.emplace();
    m_parser->body_limit(maximumRequestBytes);
    http::async_read(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code& error, std::size_t) {
            if (error)
                self->close();
            else
                self->serve();
        });
}

void http_session::serve()
{
    const http::request<http::string_body>& request = m_parser->get();
    m_handler({ std::string { request.method_string() }, std::string { request.target() }, request.body() },
        shared_from_this());
}

void http_session::respond(unsigned status, const std::string& body)
{
    respondRaw(formatHttpResponse(status, body));
}

void http_session::respondRaw(const std::string& bytes)
{
    m_closesAfterWrite = true;
    enqueue(bytes);
}

void http_session::close()
{
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void http_session::startStream()
{
    enqueue("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    awaitClose();
}

void http_session::writeLine(const std::string& line)
{
    std::ostringstream chunk;
    chunk << std::hex << line.size() + 1 << "\r\n" << line << "\n\r\n";
    enqueue(chunk.str());
}

void http_session::enqueue(std::string bytes)
{
    if (!m_socket.is_open())
        return;
    m_writeQueue.push_back(std::move(bytes));
    if (m_writeQueue.size() == 1)
        writeNext();
}

void http_session::writeNext()
{
    asio::async_write(m_socket, asio::buffer(m_writeQueue.front()),
        [self = shared_from_this()](const error_code& error, std::size_t) {
            self->m_writeQueue.pop_front();
            if (error || (self->m_writeQueue.empty() && self->m_closesAfterWrite))
                self->close();
            else if (!self->m_writeQueue.empty())
                self->writeNext();
        });
}

void http_session::awaitClose()
{
    m_socket.async_read_some(
        asio::buffer(m_discardBuffer), [self = shared_from_this()](const error_code& error, std::size_t) {
            if (error)
                self->close();
            else
                self->awaitClose();
        });
}

} // namespace shallotcove::testbench
