#pragma once

#include <utility>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::testbench {

enum class spray_mode : std::uint8_t {
    /// Each packet goes to a random host.
    Random,
    /// All packets of a flow go to the same host as long as the set of hosts does not change.
    PerFlow,
};

struct fabric_standin_options {
    core::socket_address address;
    /// PUT /hosts with a JSON array of packet addresses; GET /stats.
    core::socket_address controlAddress;
    spray_mode mode { spray_mode::Random };
    std::uint64_t seed { 1 };
};

/// Stand-in for the network fabric: sends each caller packet to one of the hosts, and each packet of a host
/// to the caller whose address is the inner destination.
class fabric_standin {
public:
    static tl::expected<std::unique_ptr<fabric_standin>, std::string> create(
        boost::asio::io_context&, const fabric_standin_options&);

    ~fabric_standin();

    core::socket_address address() const;
    core::socket_address controlAddress() const;
    void setHosts(const std::vector<core::socket_address>&);

private:
    class implementation;
    explicit fabric_standin(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::testbench
