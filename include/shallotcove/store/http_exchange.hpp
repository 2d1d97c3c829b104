#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/store/http_request.hpp>
#include <shallotcove/store/http_response.hpp>
#include <tl/expected.hpp>

namespace shallotcove::store {

enum class http_error : std::uint8_t {
    /// No connection was established, so the server cannot have received the request.
    NotSent,
    /// The server may have received the request, but no complete response arrived in time.
    AnswerLost,
    /// The response is not valid HTTP.
    Malformed,
    /// The response exceeds maximumResponseBytes.
    TooLarge,
};

/// Enough for the whole content of the store: a few thousand Base64-encoded values.
inline constexpr std::size_t maximumResponseBytes = std::size_t { 64 } << 20;

/// Spare capacity behind the body of a response. simdjson reads beyond the end of a text and would otherwise
/// need a copy of it.
inline constexpr std::size_t spareResponseBytes = 64;

struct http_timeouts {
    /// From the established connection to the last byte of the response; also an upper bound for connect.
    std::chrono::milliseconds total { 2000 };
    std::chrono::milliseconds connect { 2000 };
    /// From the established connection to the header of the response. If set, the total time counts from the
    /// header, so that a long response can be allowed more time than a server that does not answer.
    std::optional<std::chrono::milliseconds> header {};
};

using http_handler = std::function<void(tl::expected<http_response, http_error>)>;

boost::asio::ip::tcp::endpoint toEndpoint(const core::socket_address&);

/// Sets keep-alive probes and the limit for unacknowledged data so that the connection fails within this time
/// if the peer disappears without closing it.
void setDeadPeerTimeout(boost::asio::ip::tcp::socket&, std::chrono::seconds);

/// Sends one request on a new connection and passes the response to the handler. onSent is called when the
/// connection is established, just before the request is written. Connections are not reused: if the server
/// closed an idle connection while a request was sent on it, that request could not be told from one whose
/// response was lost.
void exchangeHttp(boost::asio::io_context&, const core::socket_address& server, http_request,
    const http_timeouts&, std::function<void()> onSent, http_handler);

} // namespace shallotcove::store
