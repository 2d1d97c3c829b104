#pragma once

#include <utility>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::testbench {

struct http_request {
    std::string method;
    std::string target;
    std::string body;
};

/// One connection, which serves a single request.
class http_connection {
public:
    virtual ~http_connection() = default;

    /// Sends the complete response and closes the connection.
    virtual void respond(unsigned status, const std::string& body) = 0;
    /// Sends the bytes unchanged and closes the connection. Also for responses that violate the protocol.
    virtual void respondRaw(const std::string& bytes) = 0;
    /// Closes the connection without a response.
    virtual void close() = 0;
    /// Sends the header of a streamed response. The connection stays open.
    virtual void startStream() = 0;
    /// Sends a line of a streamed response.
    virtual void writeLine(const std::string& line) = 0;
    virtual bool isOpen() const = 0;
};

using http_handler = std::function<void(const http_request&, const std::shared_ptr<http_connection>&)>;

/// Formats a complete HTTP response with a JSON body.
std::string formatHttpResponse(unsigned status, const std::string& body);

/// Small HTTP server for the stand-ins, on one io_context.
class http_server {
public:
    /// Binds and listens. The error is a message for people.
    static tl::expected<std::unique_ptr<http_server>, std::string> create(
        boost::asio::io_context&, const core::socket_address&, http_handler);

    ~http_server();

    /// The bound address, with the port that the operating system chose.
    core::socket_address address() const;
    /// Closes open connections and refuses new ones until resume().
    void suspend();
    /// Listens again on the same port. Returns false if that fails, for example because another process has
    /// taken the port.
    bool resume();

private:
    class implementation;
    explicit http_server(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::testbench
