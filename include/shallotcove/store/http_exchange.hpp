#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>
#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/store/http_answer.hpp>
#include <shallotcove/store/http_question.hpp>
#include <tl/expected.hpp>

namespace shallotcove::store {

enum class http_error : std::uint8_t {
    /// No connection, so the server cannot have seen the request.
    NotSent,
    /// The request may have arrived, but no whole answer came in time.
    AnswerLost,
    /// The answer is not HTTP or exceeds maximumAnswerBytes.
    Malformed,
};

/// Everything in the store fits: a few thousand values, Base64-encoded.
inline constexpr std::size_t maximumAnswerBytes = std::size_t { 64 } << 20;

struct http_timeouts {
    /// From connecting to the last byte.
    std::chrono::milliseconds total { 2000 };
    std::chrono::milliseconds connect { 2000 };
};

using http_handler = std::function<void(tl::expected<http_answer, http_error>)>;

boost::asio::ip::tcp::endpoint toEndpoint(const core::socket_address&);

/// Makes TCP notice a peer that is gone without a word within this time, by probes and unacknowledged data.
void setPeerTimeout(boost::asio::ip::tcp::socket&, std::chrono::seconds);

/// Sends one request on a connection of its own and hands over the answer. onSent is called when the
/// connection stands and the request goes out. A connection is not used twice, because a request on an idle
/// connection that the server is just closing could not be told from one whose answer was lost.
void exchangeHttp(boost::asio::io_context&, const core::socket_address& server, http_question,
    const http_timeouts&, std::function<void()> onSent, http_handler);

} // namespace shallotcove::store
