#include "http_session.hpp"

#include <shallotcove/rpc/operator_error.hpp>

#include "bearer_token.hpp"
#include "json_rpc.hpp"

namespace shallotcove {
namespace rpc {

    namespace {

        namespace beast = boost::beast;
        namespace http = boost::beast::http;

        // Real requests have a few hundred bytes of header fields.
        constexpr std::uint32_t maximumHeaderBytes = 8 * 1024;

        int toErrorCode(operator_error error) { return static_cast<int>(error); }

    } // namespace

    http_session::http_session(
        boost::asio::ip::tcp::socket socket, std::shared_ptr<const http_session_options> options)
        : m_stream(std::move(socket))
        , m_options(std::move(options))
    {
    }

    http_session::~http_session() { m_options->onEnd(); }

    void http_session::start() { readHeader(); }

    void http_session::stop()
    {
        m_isStopping = true;
        if (!m_isWriting)
            m_stream.close();
    }

    void http_session::readHeader()
    {
        m_parser.emplace();
        m_parser->header_limit(maximumHeaderBytes);
        m_parser->body_limit(m_options->maximumRequestBytes);
        m_stream.expires_after(m_options->requestTimeout);
        const std::shared_ptr<http_session> self = shared_from_this();
        http::async_read_header(
            m_stream, m_buffer, *m_parser, [self](error_code error, std::size_t) { self->onHeader(error); });
    }

    void http_session::onHeader(error_code error)
    {
        if (error)
            return handleReadError(error);
        const http::request<http::string_body>& request = m_parser->get();
        if (!isAuthorized(request[http::field::authorization].to_string(), m_options->token))
            return writeError(http::status::unauthorized, toErrorCode(operator_error::Unauthorized),
                "the bearer token is missing or wrong");
        if (request.method() != http::verb::post || request.target() != "/")
            return writeError(
                http::status::method_not_allowed, invalidRequestCode, "the HTTP request is not a POST to /");
        const std::shared_ptr<http_session> self = shared_from_this();
        http::async_read(m_stream, m_buffer, *m_parser,
            [self](error_code bodyError, std::size_t) { self->onBody(bodyError); });
    }

    void http_session::onBody(error_code error)
    {
        if (error)
            return handleReadError(error);
        std::string body = m_options->handleRequest(m_parser->get().body());
        write(http::status::ok, std::move(body), m_parser->get().keep_alive());
    }

    void http_session::writeError(http::status status, int code, const std::string& message)
    {
        write(status, formatErrorResponse({ code, message, {} }), false);
    }

    void http_session::handleReadError(error_code error)
    {
        if (error == http::error::body_limit)
            return writeError(http::status::payload_too_large, toErrorCode(operator_error::InvalidArgument),
                "the request is too large; allowed: at most " + std::to_string(m_options->maximumRequestBytes)
                    + " bytes");
        if (error == http::error::header_limit)
            return writeError(http::status::request_header_fields_too_large, invalidRequestCode,
                "the HTTP header is too large; allowed: at most " + std::to_string(maximumHeaderBytes)
                    + " bytes");
        const bool isMalformed = error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
        if (isMalformed)
            return writeError(http::status::bad_request, invalidRequestCode, "the request is not valid HTTP");
        m_stream.close();
    }

    void http_session::write(http::status status, std::string body, bool keepAlive)
    {
        m_isWriting = true;
        m_response = response(status, 11);
        m_response.set(http::field::content_type, "application/json");
        m_response.keep_alive(keepAlive && !m_isStopping);
        m_response.body() = std::move(body);
        m_response.prepare_payload();
        m_stream.expires_after(m_options->requestTimeout);
        const std::shared_ptr<http_session> self = shared_from_this();
        http::async_write(
            m_stream, m_response, [self](error_code error, std::size_t) { self->onWritten(error); });
    }

    void http_session::onWritten(error_code error)
    {
        m_isWriting = false;
        if (error || m_isStopping)
            return m_stream.close();
        if (m_response.keep_alive())
            return readHeader();
        error_code ignored;
        m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        discardRemainingInput();
    }

    void http_session::discardRemainingInput()
    {
        // Closing with unread input would reset the connection, and the client could lose the response. The
        // time limit that was set for writing also applies here.
        m_buffer.clear();
        const std::shared_ptr<http_session> self = shared_from_this();
        m_stream.async_read_some(m_buffer.prepare(64 * 1024), [self](error_code error, std::size_t) {
            if (error)
                self->m_stream.close();
            else
                self->discardRemainingInput();
        });
    }

} // namespace rpc
} // namespace shallotcove
