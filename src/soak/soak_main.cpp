// Runs hosts under random faults and checks the promises of docs/SOAK.md. Started by the script run-soak,
// which starts each host that this program requests on standard output.
#include "soak_world.hpp"

#include <fstream>

#include <gflags/gflags.h>

#include "testbench/program.hpp"

DEFINE_uint64(seed, 1, "seed of the faults and the traffic");
DEFINE_double(seconds, 20, "period in seconds during which faults begin");
DEFINE_uint64(hosts, 9, "number of hosts, 1 to 250");
DEFINE_double(requests, 120, "requests per second of all callers together");
DEFINE_uint64(network, 20, "second octet of the loopback addresses, 1 to 250");
DEFINE_bool(modulo, false,
    "use a modulo hash in the routers, which moves nearly all flows when a host joins or leaves");
DEFINE_string(folder, "", "existing folder for settings, process ids, logs and the report");

int main(int argc, char** argv)
{
    namespace soak = shallotcove::soak;
    namespace testbench = shallotcove::testbench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_folder.empty() || FLAGS_hosts < 1 || FLAGS_hosts > 250 || FLAGS_network < 1
        || FLAGS_network > 250 || FLAGS_requests <= 0 || FLAGS_seconds <= 0)
        testbench::exitWithError("usage: soak --folder DIR [--seed N] [--seconds S] [--hosts 1..250]");
    soak::soak_options options;
    options.seed = FLAGS_seed;
    options.faultSeconds = FLAGS_seconds;
    options.hosts = FLAGS_hosts;
    options.requestsPerSecond = FLAGS_requests;
    options.network = static_cast<unsigned>(FLAGS_network);
    options.isModuloHash = FLAGS_modulo;
    options.folder = FLAGS_folder;
    const tl::expected<std::unique_ptr<soak::soak_world>, std::string> world
        = soak::soak_world::create(options);
    if (!world)
        testbench::exitWithError(world.error());
    (*world)->run();
    std::ofstream(FLAGS_folder + "/report.txt") << (*world)->report();
    return (*world)->isClean() ? 0 : 1;
}
