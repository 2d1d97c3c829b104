#pragma once

#include <utility>

#include <cstddef>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>
#include <jsonrpccpp/client/iclientconnector.h>

#include <shallotcove/rpc/operator_client.hpp>

namespace shallotcove {
namespace rpc {

    /// Sends one JSON-RPC request over HTTP and records the cause of a failure, because the exceptions of
    /// libjsonrpccpp do not distinguish a request that was not sent from a lost response.
    class http_client_connector : public jsonrpc::IClientConnector {
    public:
        explicit http_client_connector(const operator_client_options& options);

        /// On failure the result is empty, which libjsonrpccpp reports as an exception.
        void SendRPCMessage(const std::string& message, std::string& result) noexcept override;

        const boost::optional<client_error>& failure() const;

    private:
        using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

        std::string exchange(const std::string& message);
        bool connect();
        /// Returns the number of bytes that the system accepted.
        std::size_t send(const std::string& text, boost::system::error_code& error);
        void receive(response_parser& parser, boost::system::error_code& error);
        /// Returns the body of a valid response with status 200; otherwise records the failure and returns an
        /// empty text.
        std::string extractBody(
            const boost::beast::http::response<boost::beast::http::string_body>& response);
        void recordFailure(client_error_kind kind, const std::string& message);
        void runContext();

        operator_client_options m_options;
        boost::asio::io_context m_context;
        boost::beast::tcp_stream m_stream;
        boost::optional<client_error> m_failure;
    };

} // namespace rpc
} // namespace shallotcove
