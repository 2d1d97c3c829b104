#include "endpoints.hpp"

#include <boost/asio/ip/address.hpp>

namespace shallotcove::testbench {

namespace {

    boost::asio::ip::address toAsio(const core::ip_address& address)
    {
        if (address.isV4())
            return boost::asio::ip::address_v4(address.toV4());
        return boost::asio::ip::address_v6(address.bytes);
    }

    core::ip_address fromAsio(const boost::asio::ip::address& address)
    {
        if (address.is_v4())
            return core::ip_address::fromV4(address.to_v4().to_uint());
        return { address.to_v6().to_bytes() };
    }

} // namespace

boost::asio::ip::tcp::endpoint toTcpEndpoint(const core::socket_address& address)
{
    return { toAsio(address.address), address.port };
}

boost::asio::ip::udp::endpoint toUdpEndpoint(const core::socket_address& address)
{
    return { toAsio(address.address), address.port };
}

core::socket_address toAddress(const boost::asio::ip::tcp::endpoint& endpoint)
{
    return { fromAsio(endpoint.address()), endpoint.port() };
}

core::socket_address toAddress(const boost::asio::ip::udp::endpoint& endpoint)
{
    return { fromAsio(endpoint.address()), endpoint.port() };
}

} // namespace shallotcove::testbench
