#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <shallotcove/core/ip_address.hpp>

namespace shallotcove::testbench {

boost::asio::ip::tcp::endpoint toTcpEndpoint(const core::socket_address&);
boost::asio::ip::udp::endpoint toUdpEndpoint(const core::socket_address&);
core::socket_address toAddress(const boost::asio::ip::tcp::endpoint&);
core::socket_address toAddress(const boost::asio::ip::udp::endpoint&);

} // namespace shallotcove::testbench
