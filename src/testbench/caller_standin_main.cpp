// Runs stand-ins for callers for a given time, prints a table and writes the report as JSON.
#include "caller_standin.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

#include "program.hpp"
#include <shallotcove/store/json_text.hpp>

DEFINE_string(settings, "", "JSON file with groups and services");
DEFINE_string(fabric, "", "UDP address of the fabric");
DEFINE_string(control, "127.0.0.1:0", "HTTP address for GET /report, POST /excuse and POST /finish");
DEFINE_uint32(seconds, 10, "time after which no new requests are made");
DEFINE_uint32(ramp_up_ms, 2000, "time over which the connections are opened");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(report_file, "", "file that gets the report as JSON");
DEFINE_string(ready_file, "", "file that gets the control address");

int main(int argc, char** argv)
{
    namespace testbench = shallotcove::testbench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ostringstream text;
    text << std::ifstream(FLAGS_settings).rdbuf();
    auto options = testbench::caller_options::parse(text.str());
    if (!options)
        testbench::exitWithError(FLAGS_settings + ": " + options.error());
    options->fabric = testbench::requireAddress("fabric", FLAGS_fabric);
    options->controlAddress = testbench::requireAddress("control", FLAGS_control);
    options->seed = FLAGS_seed;
    options->rampUp = std::chrono::milliseconds { FLAGS_ramp_up_ms };
    options->duration = std::chrono::seconds { FLAGS_seconds };
    boost::asio::io_context context;
    const auto callers = testbench::caller_standin::create(context, *options, [&context] { context.stop(); });
    if (!callers)
        testbench::exitWithError(callers.error());
    if (!testbench::writeReadyFile(FLAGS_ready_file, { (*callers)->controlAddress() }))
        testbench::exitWithError("cannot write " + FLAGS_ready_file);
    testbench::runUntilSignal(context);
    std::cout << (*callers)->report().toTable();
    if (!FLAGS_report_file.empty())
        std::ofstream(FLAGS_report_file)
            << shallotcove::store::formatJson((*callers)->report().toJson()) << '\n';
    return 0;
}
