#include "http_client_connector.hpp"

#include <exception>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "json_rpc.hpp"

namespace shallotcove {
namespace rpc {

    namespace {

        namespace http = boost::beast::http;
        using boost::asio::ip::tcp;
        using boost::system::error_code;

        std::string formatHttpRequest(const operator_client_options& options, const std::string& message)
        {
            http::request<http::string_body> request(http::verb::post, "/", 11);
            request.set(http::field::host, options.host);
            request.set(http::field::authorization, "Bearer " + options.token);
            request.set(http::field::content_type, "application/json");
            request.keep_alive(false);
            request.body() = message;
            request.prepare_payload();
            std::ostringstream text;
            text << request;
            return text.str();
        }

    } // namespace

    http_client_connector::http_client_connector(const operator_client_options& options)
        : m_options(options)
        , m_stream(m_context)
    {
    }

    void http_client_connector::SendRPCMessage(const std::string& message, std::string& result) noexcept
    {
        result.clear();
        m_failure = boost::none;
        try {
            result = exchange(message);
        } catch (const std::exception& exception) {
            recordFailure(client_error_kind::AnswerLost, exception.what());
        }
    }

    const boost::optional<client_error>& http_client_connector::failure() const { return m_failure; }

    std::string http_client_connector::exchange(const std::string& message)
    {
        if (!connect())
            return "";
        const std::string text = formatHttpRequest(m_options, message);
        error_code sendError;
        m_stream.expires_after(m_options.responseTimeout);
        const std::size_t sent = send(text, sendError);
        response_parser parser;
        error_code receiveError;
        // A host that rejects a request early responds before it has read all of it.
        if (!sendError || sendError != boost::beast::error::timeout)
            receive(parser, receiveError);
        const bool hasResponse = parser.is_done() && !receiveError;
        if (hasResponse)
            return extractBody(parser.get());
        if (sent < text.size())
            recordFailure(client_error_kind::NotSent, "the request was not sent: " + sendError.message());
        else if (receiveError == http::error::body_limit)
            recordFailure(client_error_kind::AnswerLost,
                "the response is larger than " + std::to_string(m_options.maximumResponseBytes) + " bytes");
        else
            recordFailure(client_error_kind::AnswerLost, "no response: " + receiveError.message());
        return "";
    }

    bool http_client_connector::connect()
    {
        error_code error;
        const boost::asio::ip::address address = boost::asio::ip::make_address(m_options.host, error);
        if (error) {
            recordFailure(
                client_error_kind::NotSent, "host is \"" + m_options.host + "\"; allowed: an IP address");
            return false;
        }
        m_stream.expires_after(m_options.connectTimeout);
        m_stream.async_connect(
            tcp::endpoint(address, m_options.port), [&error](error_code result) { error = result; });
        runContext();
        if (!error)
            return true;
        recordFailure(client_error_kind::NotSent,
            "can't connect to " + m_options.host + " port " + std::to_string(m_options.port) + ": "
                + error.message());
        return false;
    }

    std::size_t http_client_connector::send(const std::string& text, error_code& error)
    {
        std::size_t sent = 0;
        boost::asio::async_write(
            m_stream, boost::asio::buffer(text), [&](error_code result, std::size_t bytes) {
                error = result;
                sent = bytes;
            });
        runContext();
        return sent;
    }

    void http_client_connector::receive(response_parser& parser, error_code& error)
    {
        boost::beast::flat_buffer buffer;
        parser.body_limit(m_options.maximumResponseBytes);
        http::async_read(
            m_stream, buffer, parser, [&error](error_code result, std::size_t) { error = result; });
        runContext();
    }

    std::string http_client_connector::extractBody(const http::response<http::string_body>& response)
    {
        const std::string status = "HTTP status " + std::to_string(response.result_int());
        const bool isRefusal = response.result_int() >= 400 && response.result_int() < 500;
        const tl::expected<Json::Value, std::string> jsonResponse = checkResponse(response.body());
        if (!jsonResponse) {
            // A 4xx status means that the request was not run.
            recordFailure(isRefusal ? client_error_kind::Protocol : client_error_kind::AnswerLost,
                "the response with " + status + " is " + jsonResponse.error());
            return "";
        }
        if (response.result() == http::status::ok)
            return response.body();
        const Json::Value& error = (*jsonResponse)["error"];
        const int code = error.isObject() ? error["code"].asInt() : 0;
        const operator_error refusal = static_cast<operator_error>(code);
        if (isRefusal && errorName(refusal) != "Unknown")
            m_failure = client_error { client_error_kind::Refused, refusal, error["message"].asString() };
        else
            recordFailure(isRefusal ? client_error_kind::Protocol : client_error_kind::AnswerLost,
                "the host responded with " + status
                    + (error.isObject() ? ": " + error["message"].asString() : ""));
        return "";
    }

    void http_client_connector::recordFailure(client_error_kind kind, const std::string& message)
    {
        m_failure = client_error { kind, operator_error::InvalidArgument, message };
    }

    void http_client_connector::runContext()
    {
        m_context.restart();
        m_context.run();
    }

} // namespace rpc
} // namespace shallotcove
