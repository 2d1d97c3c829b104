// Prints one address per argument, with a port chosen by the operating system that is free for both UDP and
// TCP. Usage: free_ports IP...
#include <utility>

#include <iostream>
#include <list>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "endpoints.hpp"
#include "program.hpp"

namespace core = shallotcove::core;
namespace testbench = shallotcove::testbench;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;

int main(int argc, char** argv)
{
    boost::asio::io_context context;
    // All sockets stay open to the end, so that no port is printed twice.
    std::list<tcp::acceptor> acceptors;
    std::list<udp::socket> sockets;
    for (int index = 1; index < argc;) {
        const tl::expected<core::ip_address, core::address_error> address
            = core::ip_address::parse(argv[index]);
        if (!address)
            testbench::exitWithError(std::string("'") + argv[index] + "' is not an IP address");
        boost::system::error_code error;
        tcp::acceptor& acceptor = acceptors.emplace_back(context);
        const tcp::endpoint any = testbench::toTcpEndpoint({ *address, 0 });
        acceptor.open(any.protocol(), error);
        if (!error)
            acceptor.bind(any, error);
        if (error)
            testbench::exitWithError(std::string("cannot bind ") + argv[index] + ": " + error.message());
        const core::socket_address bound = testbench::toAddress(acceptor.local_endpoint());
        udp::socket& socket = sockets.emplace_back(context);
        socket.open(testbench::toUdpEndpoint(bound).protocol(), error);
        socket.bind(testbench::toUdpEndpoint(bound), error);
        // The port is in use for UDP. The next iteration tries another port for the same address.
        if (error)
            continue;
        std::cout << bound.toString() << '\n';
        ++index;
    }
    return 0;
}
