#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

namespace shallotcove {
namespace rpc {

    class operator_handler;

    struct operator_server_options {
        /// IP address to listen on; host names are refused.
        std::string host = "127.0.0.1";
        /// 0 lets the system choose a port.
        std::uint16_t port = 0;
        /// Bearer token that every request has to carry; at least 16 characters.
        std::string token;
        /// Largest HTTP body.
        std::size_t maximumRequestBytes = 1024 * 1024;
        /// Time limit for reading a request and for writing a response; also the idle timeout of connections.
        std::chrono::milliseconds requestTimeout { 5000 };
        /// Connections beyond this number are closed at once.
        std::size_t maximumConnections = 64;
    };

    /// Serves operator calls (JSON-RPC 2.0 over HTTP POST) on a thread of its own.
    class operator_server {
    public:
        /// Binds and starts the thread. The handler has to outlive the server. The error is a
        /// human-readable message.
        static tl::expected<std::unique_ptr<operator_server>, std::string> start(
            const operator_server_options& options, operator_handler& handler);
        ~operator_server();
        operator_server(const operator_server&) = delete;
        operator_server& operator=(const operator_server&) = delete;

        /// Port on which the server listens.
        std::uint16_t port() const;
        /// Closes the listener and idle connections, completes the request in progress, sends its
        /// response and joins the thread. Calls after the first have no effect.
        void stop();

    private:
        class implementation;
        explicit operator_server(std::unique_ptr<implementation> created);

        std::unique_ptr<implementation> m_implementation;
    };

} // namespace rpc
} // namespace shallotcove
