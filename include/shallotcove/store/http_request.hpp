#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>

namespace shallotcove::store {

struct http_request {
    boost::beast::http::verb method { boost::beast::http::verb::post };
    std::string target;
    std::string body;
};

} // namespace shallotcove::store
