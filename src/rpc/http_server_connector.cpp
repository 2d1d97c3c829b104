#include "http_server_connector.hpp"

#include <exception>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "json_rpc.hpp"

namespace shallotcove {
namespace rpc {

    namespace {

        using boost::asio::ip::tcp;
        using boost::system::error_code;

        // Pause after a failed accept, for example for lack of file descriptors, so that the thread does not
        // spin.
        constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

    } // namespace

    http_server_connector::http_server_connector(const operator_server_options& options)
        : m_options(options)
        , m_acceptor(m_context)
        , m_retryTimer(m_context)
    {
    }

    http_server_connector::~http_server_connector() { StopListening(); }

    tl::expected<std::unique_ptr<http_server_connector>, std::string> http_server_connector::bind(
        const operator_server_options& options)
    {
        const std::string endpointText = options.host + " port " + std::to_string(options.port);
        error_code error;
        const boost::asio::ip::address address = boost::asio::ip::make_address(options.host, error);
        if (error)
            return tl::unexpected<std::string>("host is \"" + options.host + "\"; allowed: an IP address");
        std::unique_ptr<http_server_connector> connector(new http_server_connector(options));
        const tcp::endpoint endpoint(address, options.port);
        tcp::acceptor& acceptor = connector->m_acceptor;
        acceptor.open(endpoint.protocol(), error);
        if (!error)
            acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(tcp::acceptor::max_listen_connections, error);
        if (error)
            return tl::unexpected<std::string>("can't listen on " + endpointText + ": " + error.message());
        connector->m_port = acceptor.local_endpoint(error).port();
        return connector;
    }

    std::uint16_t http_server_connector::port() const { return m_port; }

    bool http_server_connector::StartListening()
    {
        if (m_thread.joinable())
            return false;
        accept();
        m_thread = std::thread([this] { m_context.run(); });
        return true;
    }

    bool http_server_connector::StopListening()
    {
        if (!m_thread.joinable())
            return false;
        boost::asio::post(m_context, [this] { stopOnServerThread(); });
        m_thread.join();
        return true;
    }

    bool http_server_connector::SendResponse(const std::string& response, void* addInfo)
    {
        *static_cast<std::string*>(addInfo) = response;
        return true;
    }

    std::string http_server_connector::handleRequest(const std::string& request)
    {
        const tl::expected<void, json_rpc_error> validation = checkRequest(request);
        if (!validation)
            return formatErrorResponse(validation.error());
        std::string response;
        try {
            OnRequest(request, &response);
        } catch (const std::exception& exception) {
            return formatErrorResponse({ internalErrorCode, exception.what(), {} });
        }
        return response;
    }

    void http_server_connector::accept()
    {
        m_acceptor.async_accept(
            [this](const error_code& error, tcp::socket socket) { onAccepted(error, std::move(socket)); });
    }

    void http_server_connector::onAccepted(const error_code& error, tcp::socket socket)
    {
        if (m_isStopping)
            return;
        if (error) {
            m_retryTimer.expires_after(acceptRetryDelay);
            m_retryTimer.async_wait([this](const error_code&) {
                if (!m_isStopping)
                    accept();
            });
            return;
        }
        if (m_sessions.size() < m_options.maximumConnections) {
            const std::shared_ptr<http_session_options> options = std::make_shared<http_session_options>();
            options->token = m_options.token;
            options->maximumRequestBytes = m_options.maximumRequestBytes;
            options->requestTimeout = m_options.requestTimeout;
            options->handleRequest = [this](const std::string& request) { return handleRequest(request); };
            const std::shared_ptr<http_session> session
                = std::make_shared<http_session>(std::move(socket), options);
            http_session* const key = session.get();
            options->onEnd = [this, key] { m_sessions.erase(key); };
            m_sessions.insert(key);
            session->start();
        }
        accept();
    }

    void http_server_connector::stopOnServerThread()
    {
        m_isStopping = true;
        error_code ignored;
        m_acceptor.close(ignored);
        m_retryTimer.cancel(ignored);
        for (http_session* const session : m_sessions)
            session->stop();
    }

} // namespace rpc
} // namespace shallotcove
