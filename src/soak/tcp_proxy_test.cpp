#include "tcp_proxy.hpp"

#include <chrono>
#include <optional>

#include <criterion/criterion.h>

#include <shallotcove/store/http_exchange.hpp>

#include "testbench/event_loop.hpp"
#include "testbench/http_server.hpp"

using namespace shallotcove::soak;
namespace store = shallotcove::store;
namespace testbench = shallotcove::testbench;
using namespace std::chrono_literals;

namespace {

/// An HTTP server behind a tcp_proxy.
class proxied_server {
public:
    proxied_server()
        : m_server(std::move(
            *testbench::http_server::create(context, *shallotcove::core::socket_address::parse("127.0.0.1:0"),
                [this](const testbench::http_request&,
                    const std::shared_ptr<testbench::http_connection>& connection) {
                    ++requests;
                    connection->respond(200, "{}");
                })))
        , proxy(std::move(*tcp_proxy::create(context, m_server->address())))
    {
    }

    tl::expected<store::http_response, store::http_error> sendRequest()
    {
        std::optional<tl::expected<store::http_response, store::http_error>> result;
        store::exchangeHttp(
            context, proxy->address(), { boost::beast::http::verb::get, "/", {} }, { 600ms, 600ms }, [] {},
            [&result](
                const tl::expected<store::http_response, store::http_error>& answer) { result = answer; });
        testbench::runUntil(context, [&result] { return result.has_value(); });
        return *result;
    }

    boost::asio::io_context context;
    int requests {};

private:
    std::unique_ptr<testbench::http_server> m_server;

public:
    std::unique_ptr<tcp_proxy> proxy;
};

} // namespace

// Guards against proxy modes that have no effect, or that affect more than they should.
Test(tcp_proxy, each_mode_forwards_delays_or_drops_as_documented)
{
    proxied_server server;
    cr_assert_eq(server.sendRequest()->status, 200);
    server.proxy->setMode(proxy_mode::Delayed);
    cr_assert(!server.sendRequest() && server.requests == 2, "the response arrives after the timeout");
    server.proxy->setMode(proxy_mode::Reset);
    cr_assert(!server.sendRequest() && server.requests == 2);
    server.proxy->setMode(proxy_mode::Blackhole);
    cr_assert(!server.sendRequest() && server.requests == 2);
    server.proxy->setMode(proxy_mode::ResponsesDropped);
    cr_assert(!server.sendRequest() && server.requests == 3);
    server.proxy->setMode(proxy_mode::Forward);
    cr_assert_eq(server.sendRequest()->status, 200);
}
