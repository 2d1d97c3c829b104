#pragma once

#include <utility>

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "http_server.hpp"

namespace shallotcove::testbench {

/// Reads one request, passes it to the handler and writes the response of the handler.
class http_session : public http_connection, public std::enable_shared_from_this<http_session> {
public:
    http_session(boost::asio::ip::tcp::socket, http_handler);

    void start();

    void respond(unsigned status, const std::string& body) override;
    void respondRaw(const std::string& bytes) override;
    void close() override;
    void startStream() override;
    void writeLine(const std::string& line) override;
    bool isOpen() const override { return m_socket.is_open(); }

private:
    void serve();
    void enqueue(std::string bytes);
    void writeNext();
    void awaitClose();

    boost::asio::ip::tcp::socket m_socket;
    http_handler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::deque<std::string> m_writeQueue;
    std::array<char, 64> m_discardBuffer {};
    bool m_closesAfterWrite {};
};

} // namespace shallotcove::testbench
