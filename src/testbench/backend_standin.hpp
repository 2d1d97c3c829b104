#pragma once

#include <utility>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

#include "backend_server.hpp"

namespace shallotcove::testbench {

struct backend_standin_options {
    /// GET /stats, GET /health/<n>, POST /mark, POST /cold/<n>.
    core::socket_address controlAddress;
    /// IP address to which the GUE ports of the servers are bound.
    core::ip_address serverAddress;
    std::vector<backend_server_options> servers;

    /// Reads {"services": [{name, address, protocol}], "servers": [{name, service, dataCentre, weight,
    /// newFlowsPerSecond, coldNewFlowsPerSecond, slots, requestTimeMs, isCold}]}.
    static tl::expected<backend_standin_options, std::string> parse(const std::string& json);
};

/// Stand-in for many backend servers in one process, each with its own GUE port. Responses bypass the hosts
/// (direct server return): they go to the inner source address, at the UDP port that the caller sent.
class backend_standin {
public:
    static tl::expected<std::unique_ptr<backend_standin>, std::string> create(
        boost::asio::io_context&, const backend_standin_options&);

    ~backend_standin();

    core::socket_address controlAddress() const;
    /// GUE addresses of the servers, in the order of the options.
    std::vector<core::socket_address> addresses() const;
    const backend_server& server(std::size_t number) const;
    std::uint64_t duplicateRuns() const;

private:
    class implementation;
    explicit backend_standin(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::testbench
