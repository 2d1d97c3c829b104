#include <shallotcove/rpc/operator_server.hpp>

#include <fstream>
#include <future>
#include <set>
#include <stdexcept>

#include <criterion/criterion.h>

#include <shallotcove/rpc/operator_client.hpp>

#include "fake_operator_handler.hpp"
#include "json_rpc.hpp"
#include "scripted_peer.hpp"

namespace rpc = shallotcove::rpc;

namespace {

const std::string token = "0123456789abcdef";

rpc::operator_server_options serverOptions()
{
    rpc::operator_server_options options;
    options.token = token;
    return options;
}

rpc::operator_client makeClient(const rpc::operator_server& server)
{
    rpc::operator_client_options options;
    options.port = server.port();
    options.token = token;
    return rpc::operator_client(options);
}

std::unique_ptr<rpc::operator_server> startServer(
    rpc::operator_handler& handler, const rpc::operator_server_options& options = serverOptions())
{
    tl::expected<std::unique_ptr<rpc::operator_server>, std::string> server
        = rpc::operator_server::start(options, handler);
    cr_assert(server.has_value());
    return std::move(*server);
}

rpc::call_result echo(const rpc::fake_operator_handler::recorded_call& call)
{
    Json::Value result;
    result["name"] = call.name;
    result["operation"] = call.operation;
    result["request"] = call.request;
    return result;
}

Json::Value makeObject(const char* field, const Json::Value& value)
{
    Json::Value result;
    result[field] = value;
    return result;
}

std::string formatPost(const std::string& body, const std::string& authorization = "Bearer " + token)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: " + authorization
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string formatCall(const std::string& method, const std::string& params)
{
    return R"({"jsonrpc":"2.0","id":1,"method":")" + method + R"(","params":)" + params + "}";
}

} // namespace

// Guards against a call that runs the wrong function of the handler or loses its parameters.
Test(operator_server, every_call_reaches_its_handler)
{
    rpc::fake_operator_handler handler(echo);
    const std::unique_ptr<rpc::operator_server> server = startServer(handler);
    rpc::operator_client client = makeClient(*server);
    const Json::Value operation = makeObject("operationId", "x");
    // A revision beyond 32 bits; the generated stubs would abort on such a number as a separate parameter.
    const Json::Value request = makeObject("revision", Json::UInt64(UINT64_MAX));
    for (const rpc::call_description& description : rpc::operator_client::calls()) {
        const tl::expected<Json::Value, rpc::client_error> result = description.isCommand
            ? client.command(description.name, operation, request)
            : client.query(description.name, request);
        cr_assert(result.has_value(), "%s", description.name.c_str());
        cr_assert((*result)["name"] == description.name, "%s", description.name.c_str());
        cr_assert((*result)["request"] == request, "%s", description.name.c_str());
        cr_assert((*result)["operation"] == (description.isCommand ? operation : Json::Value()));
    }
    cr_assert(!client.query("serverAdd", request) && !client.command("status", operation, request));
}

// Guards against a schema whose calls, parameters or errors differ from those of the code.
Test(operator_server, schema_matches_the_calls)
{
    std::ifstream file(SHALLOTCOVE_SCHEMA_FILE);
    Json::Value schema;
    file >> schema;
    std::set<std::string> known;
    for (int code = 1001; rpc::errorName(static_cast<rpc::operator_error>(code)) != "Unknown"; ++code)
        known.insert(rpc::errorName(static_cast<rpc::operator_error>(code)));
    cr_assert(known.size() == 9);
    std::set<std::string> used;
    const std::vector<rpc::call_description> calls = rpc::operator_client::calls();
    cr_assert(schema.size() == calls.size());
    for (Json::ArrayIndex index = 0; index < schema.size(); ++index) {
        const Json::Value& entry = schema[index];
        cr_assert(entry["name"] == calls[index].name, "call %u", index);
        cr_assert(entry["params"]["request"].isObject() && entry["returns"].isObject(), "call %u", index);
        cr_assert(entry["params"].size() == (calls[index].isCommand ? 2U : 1U), "call %u", index);
        cr_assert(entry["params"].isMember("operation") == calls[index].isCommand, "call %u", index);
        for (const std::string& error : entry["errors"].getMemberNames())
            cr_assert(known.count(error) == 1 && entry["errors"][error].isString(), "%s", error.c_str());
        for (const std::string& error : entry["errors"].getMemberNames())
            used.insert(error);
    }
    cr_assert(used == known);
}

// Guards against an error of the handler that the client reports as a different one.
Test(operator_server, every_error_reaches_the_client)
{
    rpc::operator_error error {};
    rpc::fake_operator_handler handler(
        [&](const rpc::fake_operator_handler::recorded_call&) -> rpc::call_result {
            return tl::unexpected(rpc::call_failure { error, "weight is 0 \"ț\"" });
        });
    const std::unique_ptr<rpc::operator_server> server = startServer(handler);
    for (int code = 1001; code <= 1009; ++code) {
        error = static_cast<rpc::operator_error>(code);
        const tl::expected<Json::Value, rpc::client_error> result
            = makeClient(*server).command("serverAdd", makeObject("a", 1), makeObject("b", 1));
        cr_assert(!result && result.error().kind == rpc::client_error_kind::Refused, "%d", code);
        cr_assert(
            result.error().refusal == error && result.error().message == "weight is 0 \"ț\"", "%d", code);
    }
}

// Guards against an exception of the handler that ends the process or is reported as a call that was not run.
Test(operator_server, reports_exceptions_of_the_handler)
{
    rpc::fake_operator_handler handler(
        [](const rpc::fake_operator_handler::recorded_call&) -> rpc::call_result {
            throw std::runtime_error("out of range");
        });
    const std::unique_ptr<rpc::operator_server> server = startServer(handler);
    const tl::expected<Json::Value, rpc::client_error> command
        = makeClient(*server).command("serverAdd", makeObject("a", 1), makeObject("b", 1));
    cr_assert(!command && command.error().refusal == rpc::operator_error::OutcomeUnknown);
    const tl::expected<Json::Value, rpc::client_error> query
        = makeClient(*server).query("status", makeObject("b", 1));
    cr_assert(!query && query.error().kind == rpc::client_error_kind::AnswerLost);
    cr_assert(query.error().message.find("out of range") != std::string::npos);
}

// Guards against an invalid request that reaches the handler, ends the server or gets no clear error.
Test(operator_server, rejects_invalid_requests)
{
    rpc::operator_server_options options = serverOptions();
    options.maximumRequestBytes = 1000;
    rpc::fake_operator_handler handler(echo);
    const std::unique_ptr<rpc::operator_server> server = startServer(handler, options);
    const std::string validCall = formatCall("status", R"({"request":{}})");
    struct invalid_request {
        const char* name;
        std::string text;
        int status;
        int code;
        const char* message;
    };
    const std::string chunk(1200, ' ');
    const std::vector<invalid_request> requests {
        { "no token", "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 401, 1007, "bearer token" },
        { "wrong token", formatPost(validCall, "Bearer 0123456789abcdeF"), 401, 1007, "bearer token" },
        { "part of the token", formatPost(validCall, "Bearer 0123456789abcde"), 401, 1007, "bearer token" },
        { "longer token", formatPost(validCall, "Bearer 0123456789abcdef0"), 401, 1007, "bearer token" },
        { "other scheme", formatPost(validCall, "Basic " + token), 401, 1007, "bearer token" },
        { "GET", "GET / HTTP/1.1\r\nAuthorization: Bearer " + token + "\r\n\r\n", 405, -32600, "POST to /" },
        { "other path", "POST /x HTTP/1.1\r\nAuthorization: Bearer " + token + "\r\n\r\n", 405, -32600,
            "POST" },
        { "not HTTP", "hello\r\n\r\n", 400, -32600, "not valid HTTP" },
        { "large header", "POST / HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n", 431, -32600,
            "header" },
        { "large body", formatPost(std::string(1001, ' ')), 413, 1001, "at most 1000 bytes" },
        { "large chunked body",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nAuthorization: Bearer " + token
                + "\r\n\r\n4b0\r\n" + chunk + "\r\n0\r\n\r\n",
            413, 1001, "at most 1000 bytes" },
        { "malformed JSON", formatPost("{\"jsonrpc\":"), 200, -32700, "not valid JSON" },
        { "empty body", formatPost(""), 200, -32700, "not valid JSON" },
        { "deep nesting", formatPost(std::string(900, '[')), 200, -32700, "not valid JSON" },
        { "repeated key", formatPost(R"({"id":1,"id":2})"), 200, -32700, "not valid JSON" },
        { "batch", formatPost("[" + validCall + "]"), 200, -32600, "a batch" },
        { "notification", formatPost(R"({"jsonrpc":"2.0","method":"status","params":{"request":{}}})"), 200,
            -32600, "id" },
        { "unknown call", formatPost(formatCall("serverDelete", "{}")), 200, -32601, "METHOD_NOT_FOUND" },
        { "no version", formatPost(R"({"id":1,"method":"status","params":{"request":{}}})"), 200, -32600,
            "" },
        { "method is a number", formatPost(R"({"jsonrpc":"2.0","id":1,"method":7,"params":{}})"), 200, -32600,
            "" },
        { "no params", formatPost(R"({"jsonrpc":"2.0","id":1,"method":"status"})"), 200, 1001,
            "params is not" },
        { "params in an array", formatPost(formatCall("status", "[{}]")), 200, 1001,
            "params is not an object" },
        { "no operation", formatPost(formatCall("serverDrain", R"({"request":{}})")), 200, 1001,
            "params.operation is missing" },
        { "request is a number", formatPost(formatCall("status", R"({"request":1})")), 200, 1001,
            "params.request is not" },
        { "other parameter", formatPost(formatCall("status", R"({"request":{},"x":1})")), 200, 1001,
            "params.x is not a known" },
    };
    for (const invalid_request& request : requests) {
        const std::string response = rpc::sendAndReceive(server->port(), request.text);
        cr_assert(response.starts_with("HTTP/1.1 " + std::to_string(request.status)), "%s: %s", request.name,
            response.c_str());
        const tl::expected<Json::Value, std::string> body
            = rpc::parseStrictJson(response.substr(response.find("\r\n\r\n") + 4));
        cr_assert(body.has_value(), "%s: %s", request.name, response.c_str());
        cr_assert((*body)["error"]["code"] == request.code, "%s: %s", request.name, response.c_str());
        cr_assert((*body)["error"]["message"].asString().find(request.message) != std::string::npos, "%s: %s",
            request.name, response.c_str());
    }
    cr_assert(handler.recordedCalls().empty());
    cr_assert(makeClient(*server).query("status", Json::objectValue).has_value());
}

// Guards against a client that occupies a connection by sending slowly, and against a response to an
// incomplete request.
Test(operator_server, closes_connections_with_incomplete_requests)
{
    rpc::operator_server_options options = serverOptions();
    options.requestTimeout = std::chrono::milliseconds(50);
    rpc::fake_operator_handler handler(echo);
    const std::unique_ptr<rpc::operator_server> server = startServer(handler, options);
    const std::string completeRequest = formatPost(formatCall("status", R"({"request":{}})"));
    for (const std::size_t length : { std::size_t(0), std::size_t(30), completeRequest.size() - 1 }) {
        const std::string response = rpc::sendAndReceive(server->port(), completeRequest.substr(0, length));
        cr_assert(response.empty(), "%zu bytes: %s", length, response.c_str());
    }
    cr_assert(handler.recordedCalls().empty());
}

// Guards against an unlimited number of connections. A closed connection must no longer count.
Test(operator_server, limits_connections)
{
    rpc::operator_server_options options = serverOptions();
    options.maximumConnections = 1;
    rpc::fake_operator_handler handler(echo);
    const std::unique_ptr<rpc::operator_server> server = startServer(handler, options);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket first(context);
    first.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
    const std::string request
        = "POST / HTTP/1.1\r\nAuthorization: Bearer " + token + "\r\nContent-Length: 0\r\n\r\n";
    rpc::scripted_peer::writeAll(first, request);
    rpc::scripted_peer::readUntil(first, [](const std::string& text) { return !text.empty(); });
    cr_assert(rpc::sendAndReceive(server->port(), "").empty());
    first.close();
    // The server may accept the next connection before it sees the end of the first one.
    bool isServed = false;
    while (!isServed)
        isServed = makeClient(*server).query("status", Json::objectValue).has_value();
}

// Guards against a stop that aborts the request in progress or waits for idle connections.
Test(operator_server, stop_completes_the_request_in_progress)
{
    rpc::operator_server_options options = serverOptions();
    options.requestTimeout = std::chrono::hours(1);
    std::promise<void> isRunning;
    std::promise<void> mayFinish;
    rpc::fake_operator_handler handler([&](const rpc::fake_operator_handler::recorded_call& recorded) {
        isRunning.set_value();
        mayFinish.get_future().wait();
        return echo(recorded);
    });
    const std::unique_ptr<rpc::operator_server> server = startServer(handler, options);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket idle(context);
    idle.connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
    std::future<bool> answered = std::async(std::launch::async,
        [&] { return makeClient(*server).query("status", Json::objectValue).has_value(); });
    isRunning.get_future().wait();
    std::future<void> stopped = std::async(std::launch::async, [&] { server->stop(); });
    mayFinish.set_value();
    stopped.get();
    cr_assert(answered.get());
    cr_assert(rpc::scripted_peer::readAll(idle).empty());
    const tl::expected<Json::Value, rpc::client_error> after
        = makeClient(*server).query("status", Json::objectValue);
    cr_assert(!after && after.error().kind == rpc::client_error_kind::NotSent);
    server->stop();
}

// Guards against a server that starts with a short token or listens on another address than configured.
Test(operator_server, rejects_invalid_options)
{
    rpc::fake_operator_handler handler(echo);
    const std::unique_ptr<rpc::operator_server> running = startServer(handler);
    struct invalid_options {
        std::string host;
        std::uint16_t port;
        std::string token;
        const char* message;
    };
    const std::vector<invalid_options> cases {
        { "127.0.0.1", 0, "0123456789abcde", "token has 15 characters" },
        { "localhost", 0, token, "host is \"localhost\"; allowed: an IP address" },
        { "", 0, token, "host is \"\"" },
        { "127.0.0.1", running->port(), token, "can't listen on 127.0.0.1 port" },
        { "192.0.2.1", 0, token, "can't listen on 192.0.2.1 port 0" },
    };
    for (const invalid_options& invalid : cases) {
        rpc::operator_server_options options;
        options.host = invalid.host;
        options.port = invalid.port;
        options.token = invalid.token;
        const tl::expected<std::unique_ptr<rpc::operator_server>, std::string> server
            = rpc::operator_server::start(options, handler);
        cr_assert(!server, "%s", invalid.message);
        cr_assert(server.error().find(invalid.message) != std::string::npos, "%s", server.error().c_str());
    }
}
