// Runs stand-ins for backend servers until SIGTERM or SIGINT.
#include "backend_standin.hpp"

#include <fstream>
#include <sstream>

#include <gflags/gflags.h>

#include "program.hpp"

DEFINE_string(settings, "", "JSON file with services and servers");
DEFINE_string(server_ip, "127.0.0.1", "IP address of the servers' GUE ports");
DEFINE_string(control, "127.0.0.1:0", "HTTP address for statistics and health");
DEFINE_string(
    ready_file, "", "file that gets the control address and then the servers' addresses, one a line");

int main(int argc, char** argv)
{
    namespace core = shallotcove::core;
    namespace testbench = shallotcove::testbench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ostringstream text;
    text << std::ifstream(FLAGS_settings).rdbuf();
    auto options = testbench::backend_standin_options::parse(text.str());
    if (!options)
        testbench::exitWithError(FLAGS_settings + ": " + options.error());
    options->controlAddress = testbench::requireAddress("control", FLAGS_control);
    const tl::expected<core::ip_address, core::address_error> serverAddress
        = core::ip_address::parse(FLAGS_server_ip);
    if (!serverAddress)
        testbench::exitWithError("--server_ip: '" + FLAGS_server_ip + "' is not an IP address");
    options->serverAddress = *serverAddress;
    boost::asio::io_context context;
    const auto backend = testbench::backend_standin::create(context, *options);
    if (!backend)
        testbench::exitWithError(backend.error());
    std::vector<core::socket_address> addresses = (*backend)->addresses();
    addresses.insert(addresses.begin(), (*backend)->controlAddress());
    if (!testbench::writeReadyFile(FLAGS_ready_file, addresses))
        testbench::exitWithError("cannot write " + FLAGS_ready_file);
    testbench::runUntilSignal(context);
    return 0;
}
