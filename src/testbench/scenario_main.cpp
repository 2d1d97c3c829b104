// Runs the scenarios of scenario_table.cpp with the product and the baselines and prints a table of broken
// flows, imbalance, refusals and cost. Only the decision logic runs, without sockets, threads or real clocks.
#include <cstdio>
#include <string>

#include <gflags/gflags.h>

#include "scenario_cluster.hpp"

DEFINE_uint64(seeds, 1, "runs of each scenario and variant, with seeds from 1 on");
DEFINE_string(scenario, "", "only scenarios whose name contains this");
DEFINE_bool(baselines, true, "run the baselines too");

namespace {

namespace testbench = shallotcove::testbench;
namespace wire = shallotcove::wire;

void print(const testbench::scenario& scenario, const char* variant, std::uint64_t seed,
    const testbench::cluster_report& report)
{
    const testbench::traffic_report& traffic = report.traffic;
    const double brokenPer10000
        = traffic.established == 0 ? 0 : 10000.0 * double(traffic.broken) / double(traffic.established);
    std::printf(
        "%-25s %-15s %4lu %7lu %8.2f %9.2f %7lu %9lu %8.2f %8.2f %7.2f %9.0f %9.3f %7.2f %6.0f %7.2f\n",
        scenario.name, variant, seed, traffic.established, brokenPer10000, traffic.imbalance, traffic.refused,
        traffic.unanswered, traffic.peakColdLoad, traffic.lastColdExcess, traffic.lastPacketToDataCentreOut,
        report.controlBytesPerSecondPerHost, report.redirectsPerPacket, traffic.imbalanceAfterHalving,
        traffic.secondsToRecover, traffic.excessAfterHalving);
    std::fflush(stdout);
}

template <testbench::flow_variant Variant>
void run(const testbench::scenario& scenario, std::uint64_t seed, const wire::peer_key& key)
{
    testbench::scenario_cluster<Variant> cluster(scenario, seed, key);
    print(scenario, Variant::name, seed, cluster.run());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const wire::peer_key key = wire::peer_key::parse(std::string(64, '5')).value();
    std::printf("%-25s %-15s %4s %7s %8s %9s %7s %9s %8s %8s %7s %9s %9s %7s %6s %7s\n", "scenario",
        "variant", "seed", "flows", "brk/10k", "imbalance", "refused", "no answer", "cold max", "excess s",
        "out s", "ctl B/s/h", "redir/pkt", "at 10 s", "<1.25", "excess");
    for (const testbench::scenario& scenario : testbench::allScenarios()) {
        if (std::string(scenario.name).find(FLAGS_scenario) == std::string::npos)
            continue;
        for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
            run<testbench::product>(scenario, seed, key);
            if (!FLAGS_baselines)
                continue;
            run<testbench::no_load_feedback>(scenario, seed, key);
            run<testbench::newest_weights>(scenario, seed, key);
            run<testbench::local_table>(scenario, seed, key);
            run<testbench::equal_weights>(scenario, seed, key);
        }
    }
    return 0;
}
