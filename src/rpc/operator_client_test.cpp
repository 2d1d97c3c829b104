#include <shallotcove/rpc/operator_client.hpp>

#include <future>

#include <criterion/criterion.h>

#include "scripted_peer.hpp"

namespace rpc = shallotcove::rpc;

namespace {

// Long enough for a loaded machine; tests of the timeout itself use a shorter one.
constexpr std::chrono::seconds longTimeout { 30 };
constexpr std::chrono::milliseconds shortTimeout { 200 };

rpc::operator_client makeClient(
    std::uint16_t port, std::chrono::milliseconds responseTimeout, const std::string& host = "127.0.0.1")
{
    rpc::operator_client_options options;
    options.host = host;
    options.port = port;
    options.responseTimeout = responseTimeout;
    options.maximumResponseBytes = 10'000;
    return rpc::operator_client(options);
}

tl::expected<Json::Value, rpc::client_error> drain(rpc::operator_client client, std::size_t requestBytes = 1)
{
    Json::Value operation(Json::objectValue);
    Json::Value request;
    request["service"] = std::string(requestBytes, 'x');
    return client.command("serverDrain", operation, request);
}

} // namespace

// Guards against reporting a change as not made although the host may have made it, so that the operator
// would repeat it as a new change.
Test(operator_client, classifies_unusable_responses)
{
    struct response_case {
        const char* name;
        std::string text;
        rpc::client_error_kind kind;
    };
    const auto ok
        = [](const std::string& body) { return rpc::scripted_peer::formatHttpResponse("200 OK", body); };
    using enum rpc::client_error_kind;
    const std::vector<response_case> cases {
        { "closed without a response", "", AnswerLost },
        { "part of a response", ok(R"({"jsonrpc":"2.0","id":1,"result":{}})").substr(0, 80), AnswerLost },
        { "not HTTP", "hello\r\n\r\n", AnswerLost },
        { "malformed JSON", ok("{"), AnswerLost },
        { "empty body", ok(""), AnswerLost },
        { "deep nesting", ok(std::string(5000, '[')), AnswerLost },
        { "array", ok("[]"), AnswerLost },
        { "no result", ok(R"({"jsonrpc":"2.0","id":1})"), AnswerLost },
        { "result is a number", ok(R"({"jsonrpc":"2.0","id":1,"result":7})"), AnswerLost },
        { "no version", ok(R"({"id":1,"result":{}})"), AnswerLost },
        { "error code is a text", ok(R"({"jsonrpc":"2.0","id":1,"error":{"code":"x","message":""}})"),
            AnswerLost },
        { "error without message", ok(R"({"jsonrpc":"2.0","id":1,"error":{"code":1004}})"), AnswerLost },
        { "internal error", ok(R"({"jsonrpc":"2.0","id":1,"error":{"code":-32603,"message":"x"}})"),
            AnswerLost },
        { "too large", ok(std::string(10'001, ' ')), AnswerLost },
        { "server fault", rpc::scripted_peer::formatHttpResponse("500 Internal Server Error", "x"),
            AnswerLost },
        { "unknown call", ok(R"({"jsonrpc":"2.0","id":1,"error":{"code":-32601,"message":"x"}})"), Protocol },
        { "other service", rpc::scripted_peer::formatHttpResponse("404 Not Found", "x"), Protocol },
        { "refused",
            rpc::scripted_peer::formatHttpResponse(
                "401 Unauthorized", R"({"jsonrpc":"2.0","id":null,"error":{"code":1007,"message":"x"}})"),
            Refused },
    };
    for (const response_case& response : cases) {
        rpc::scripted_peer peer([&](boost::asio::ip::tcp::socket& socket) {
            rpc::scripted_peer::readRequest(socket);
            rpc::scripted_peer::writeAll(socket, response.text);
        });
        const tl::expected<Json::Value, rpc::client_error> result
            = drain(makeClient(peer.port(), longTimeout));
        cr_assert(!result, "%s", response.name);
        cr_assert(
            result.error().kind == response.kind, "%s: %s", response.name, result.error().message.c_str());
        cr_assert(!result.error().message.empty(), "%s", response.name);
    }
}

// Guards against a call without timeout, and against NotSent for a request that was sent.
Test(operator_client, missing_response_is_reported_as_lost)
{
    std::string received;
    {
        rpc::scripted_peer peer(
            [&](boost::asio::ip::tcp::socket& socket) { received = rpc::scripted_peer::readAll(socket); });
        const tl::expected<Json::Value, rpc::client_error> result
            = drain(makeClient(peer.port(), shortTimeout));
        cr_assert(!result && result.error().kind == rpc::client_error_kind::AnswerLost);
    }
    cr_assert(received.find("serverDrain") != std::string::npos);
}

// Guards against AnswerLost for a request that was sent only in part.
Test(operator_client, partially_sent_request_is_reported_as_not_sent)
{
    // Larger than the socket buffers of both ends, which hold less than 16 MiB, so that the sender waits for
    // the reader.
    constexpr std::size_t largeRequest = 32 * 1024 * 1024;
    std::promise<void> clientFinished;
    rpc::scripted_peer peer([&](boost::asio::ip::tcp::socket& socket) {
        // Reads only the first bytes; the rest stays unread until the client times out.
        rpc::scripted_peer::readUntil(socket, [](const std::string& text) { return !text.empty(); });
        clientFinished.get_future().wait();
    });
    const tl::expected<Json::Value, rpc::client_error> result
        = drain(makeClient(peer.port(), shortTimeout), largeRequest);
    clientFinished.set_value();
    cr_assert(!result && result.error().kind == rpc::client_error_kind::NotSent);
}

// Guards against reporting an unreachable host as an unknown outcome.
Test(operator_client, unreachable_host_is_reported_as_not_sent)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const std::uint16_t port = acceptor.local_endpoint().port();
    acceptor.close();
    struct host_case {
        std::string host;
        std::uint16_t port;
        const char* message;
    };
    const std::vector<host_case> hosts { { "127.0.0.1", port, "Connection refused" },
        { "localhost", port, "host is \"localhost\"; allowed: an IP address" } };
    for (const host_case& host : hosts) {
        const tl::expected<Json::Value, rpc::client_error> result
            = drain(makeClient(host.port, longTimeout, host.host));
        cr_assert(!result && result.error().kind == rpc::client_error_kind::NotSent);
        cr_assert(result.error().message.find(host.message) != std::string::npos, "%s",
            result.error().message.c_str());
    }
}
