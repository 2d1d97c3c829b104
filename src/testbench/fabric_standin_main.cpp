// Runs the stand-in for the network fabric until SIGTERM or SIGINT.
#include "fabric_standin.hpp"

#include <gflags/gflags.h>

#include "program.hpp"

DEFINE_string(listen, "127.0.0.1:0", "UDP address that callers send to");
DEFINE_string(control, "127.0.0.1:0", "HTTP address for PUT /hosts and GET /stats");
DEFINE_string(mode, "random", "random: each packet to any host; flow: packets of a flow to one host");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(ready_file, "", "file that gets the UDP and the control address, one a line");

int main(int argc, char** argv)
{
    namespace testbench = shallotcove::testbench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_mode != "random" && FLAGS_mode != "flow")
        testbench::exitWithError("--mode is random or flow");
    boost::asio::io_context context;
    const auto fabric = testbench::fabric_standin::create(context,
        { testbench::requireAddress("listen", FLAGS_listen),
            testbench::requireAddress("control", FLAGS_control),
            FLAGS_mode == "flow" ? testbench::spray_mode::PerFlow : testbench::spray_mode::Random,
            FLAGS_seed });
    if (!fabric)
        testbench::exitWithError(fabric.error());
    if (!testbench::writeReadyFile(FLAGS_ready_file, { (*fabric)->address(), (*fabric)->controlAddress() }))
        testbench::exitWithError("cannot write " + FLAGS_ready_file);
    testbench::runUntilSignal(context);
    return 0;
}
