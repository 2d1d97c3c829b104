#pragma once

#include <utility>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <tl/expected.hpp>

#include <shallotcove/rpc/operator_server.hpp>

#include "http_session.hpp"

namespace shallotcove {
namespace rpc {

    /// Receives JSON-RPC requests over HTTP on a thread of its own.
    class http_server_connector : public jsonrpc::AbstractServerConnector {
    public:
        /// Binds without accepting connections yet. The error is a human-readable message.
        static tl::expected<std::unique_ptr<http_server_connector>, std::string> bind(
            const operator_server_options& options);
        ~http_server_connector() override;

        std::uint16_t port() const;

        bool StartListening() override;
        bool StopListening() override;
        /// Stores the response in the string that addInfo points to.
        bool SendResponse(const std::string& response, void* addInfo) override;

    private:
        explicit http_server_connector(const operator_server_options& options);

        std::string handleRequest(const std::string& request);
        void accept();
        void onAccepted(const boost::system::error_code& error, boost::asio::ip::tcp::socket socket);
        /// Closes the listener and the sessions; runs on the server's thread.
        void stopOnServerThread();

        operator_server_options m_options;
        boost::asio::io_context m_context;
        boost::asio::ip::tcp::acceptor m_acceptor;
        boost::asio::steady_timer m_retryTimer;
        std::uint16_t m_port = 0;
        bool m_isStopping = false;
        std::set<http_session*> m_sessions;
        std::thread m_thread;
    };

} // namespace rpc
} // namespace shallotcove
