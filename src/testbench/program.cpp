#include "program.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace shallotcove::testbench {

bool writeReadyFile(const std::string& path, const std::vector<core::socket_address>& addresses)
{
    if (path.empty())
        return true;
    const std::string temporary = path + ".new";
    {
        std::ofstream file(temporary);
        for (const core::socket_address& address : addresses)
            file << address.toString() << '\n';
        if (!file.flush())
            return false;
    }
    return std::rename(temporary.c_str(), path.c_str()) == 0;
}

void runUntilSignal(boost::asio::io_context& context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code& error, int) {
        if (!error)
            context.stop();
    });
    context.run();
}

core::socket_address requireAddress(const char* flag, const std::string& text)
{
    const tl::expected<core::socket_address, core::address_error> address = core::socket_address::parse(text);
    if (!address)
        exitWithError(std::string("--") + flag + ": '" + text + "' is not an address like 127.0.0.1:0");
    return *address;
}

void exitWithError(const std::string& message)
{
    std::cerr << message << '\n';
    std::exit(1);
}

} // namespace shallotcove::testbench
