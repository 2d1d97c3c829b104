#pragma once

#include <utility>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::daemon {

struct http_reply {
    unsigned status { 200 };
    std::string contentType;
    std::string body;
};

/// HTTP server on one io_context that answers GET requests. Connections stay open between requests.
class http_responder {
public:
    using handler = std::function<http_reply(std::string_view target)>;

    /// Listens on the address; returns the error message of the system if that fails.
    static tl::expected<std::unique_ptr<http_responder>, std::string> create(
        boost::asio::io_context&, const core::socket_address&, handler);

    ~http_responder();

    /// Address on which the server listens, with the port that the system assigned.
    core::socket_address address() const;

private:
    class implementation;
    explicit http_responder(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
