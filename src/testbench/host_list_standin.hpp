#pragma once

#include <utility>

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::testbench {

/// Stand-in for the platform's list of live and leaving hosts. GET /hosts returns what PUT /hosts stored
/// last, unchanged, so that tests can store stale or malformed lists.
class host_list_standin {
public:
    static tl::expected<std::unique_ptr<host_list_standin>, std::string> create(
        boost::asio::io_context&, const core::socket_address&);

    ~host_list_standin();

    core::socket_address address() const;
    void setHosts(std::string json);

private:
    class implementation;
    explicit host_list_standin(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::testbench
