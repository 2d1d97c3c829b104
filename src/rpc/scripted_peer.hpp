#pragma once

#include <utility>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace shallotcove::rpc {

/// For tests: accepts one connection on loopback and handles it with a function.
class scripted_peer {
public:
    using script = std::function<void(boost::asio::ip::tcp::socket&)>;

    explicit scripted_peer(script handle)
        : m_acceptor(m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this, handle = std::move(handle)] {
            boost::asio::ip::tcp::socket socket(m_context);
            boost::system::error_code error;
            m_acceptor.accept(socket, error);
            if (!error)
                handle(socket);
        })
    {
    }
    ~scripted_peer() { m_thread.join(); }
    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Reads until the peer closes the connection.
    static std::string readAll(boost::asio::ip::tcp::socket& socket)
    {
        return readUntil(socket, [](const std::string&) { return false; });
    }

    /// Reads an HTTP request whose JSON body is an object.
    static std::string readRequest(boost::asio::ip::tcp::socket& socket)
    {
        return readUntil(socket, [](const std::string& text) {
            return text.find("\r\n\r\n") != std::string::npos
                && (text.ends_with("}") || text.ends_with("}\n"));
        });
    }

    template <typename IsComplete>
    static std::string readUntil(boost::asio::ip::tcp::socket& socket, IsComplete isComplete)
    {
        std::string text;
        boost::system::error_code error;
        while (!error && !isComplete(text)) {
            std::array<char, 4096> bytes;
            const std::size_t count = socket.read_some(boost::asio::buffer(bytes), error);
            text.append(bytes.data(), count);
        }
        return text;
    }

    /// Writes until all is written or the connection fails.
    static void writeAll(boost::asio::ip::tcp::socket& socket, const std::string& text)
    {
        boost::system::error_code error;
        for (std::size_t sent = 0; !error && sent < text.size();)
            sent += socket.write_some(boost::asio::buffer(text) + sent, error);
    }

    static std::string formatHttpResponse(const std::string& status, const std::string& body)
    {
        return "HTTP/1.1 " + status
            + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// For tests: sends text to a port on loopback and returns everything received until the connection closes.
inline std::string sendAndReceive(std::uint16_t port, const std::string& text)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    scripted_peer::writeAll(socket, text);
    return scripted_peer::readAll(socket);
}

} // namespace shallotcove::rpc
