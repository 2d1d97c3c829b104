// Runs the stand-in for the platform's host list until SIGTERM or SIGINT.
#include "host_list_standin.hpp"

#include <gflags/gflags.h>

#include "program.hpp"

DEFINE_string(listen, "127.0.0.1:0", "address of the host list");
DEFINE_string(ready_file, "", "file that gets the address");

int main(int argc, char** argv)
{
    namespace testbench = shallotcove::testbench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context;
    const auto list
        = testbench::host_list_standin::create(context, testbench::requireAddress("listen", FLAGS_listen));
    if (!list)
        testbench::exitWithError(list.error());
    if (!testbench::writeReadyFile(FLAGS_ready_file, { (*list)->address() }))
        testbench::exitWithError("cannot write " + FLAGS_ready_file);
    testbench::runUntilSignal(context);
    return 0;
}
