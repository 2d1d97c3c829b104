#pragma once

#include <utility>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>

namespace shallotcove {
namespace rpc {

    struct http_session_options {
        std::string token;
        std::size_t maximumRequestBytes;
        std::chrono::milliseconds requestTimeout;
        /// Returns the response to a JSON-RPC request.
        std::function<std::string(const std::string&)> handleRequest;
        /// Called once when the session ends.
        std::function<void()> onEnd;
    };

    /// One HTTP connection. The token is checked before the body is read. All functions run on the server's
    /// thread.
    class http_session : public std::enable_shared_from_this<http_session> {
    public:
        http_session(
            boost::asio::ip::tcp::socket socket, std::shared_ptr<const http_session_options> options);
        ~http_session();
        http_session(const http_session&) = delete;
        http_session& operator=(const http_session&) = delete;

        void start();
        /// Closes the connection; a response that is being written is completed first.
        void stop();

    private:
        using error_code = boost::beast::error_code;
        using response = boost::beast::http::response<boost::beast::http::string_body>;

        void readHeader();
        void onHeader(error_code error);
        void onBody(error_code error);
        void writeError(boost::beast::http::status status, int code, const std::string& message);
        void handleReadError(error_code error);
        void write(boost::beast::http::status status, std::string body, bool keepAlive);
        void onWritten(error_code error);
        void discardRemainingInput();

        boost::beast::tcp_stream m_stream;
        boost::beast::flat_buffer m_buffer;
        boost::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
        response m_response;
        std::shared_ptr<const http_session_options> m_options;
        bool m_isWriting = false;
        bool m_isStopping = false;
    };

} // namespace rpc
} // namespace shallotcove
