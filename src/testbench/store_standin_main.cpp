// Runs the stand-in for the key-value service until SIGTERM or SIGINT.
#include "store_standin.hpp"

#include <gflags/gflags.h>

#include "program.hpp"

DEFINE_string(listen, "127.0.0.1:0", "address of the store");
DEFINE_string(control, "127.0.0.1:0", "address for faults, clock and statistics");
DEFINE_string(ready_file, "", "file that gets the store's and the control address, one a line");

int main(int argc, char** argv)
{
    namespace testbench = shallotcove::testbench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context;
    const auto store = testbench::store_standin::create(context,
        { testbench::requireAddress("listen", FLAGS_listen),
            testbench::requireAddress("control", FLAGS_control) });
    if (!store)
        testbench::exitWithError(store.error());
    if (!testbench::writeReadyFile(FLAGS_ready_file, { (*store)->address(), (*store)->controlAddress() }))
        testbench::exitWithError("cannot write " + FLAGS_ready_file);
    testbench::runUntilSignal(context);
    return 0;
}
