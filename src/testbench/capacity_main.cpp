// Measures how memory, CPU time and peer traffic of one host grow with the size of the fleet, the
// configuration and the flow tables, and prints the linear fits that docs/CAPACITY.md uses.
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <gflags/gflags.h>

#include "capacity_measurements.hpp"
#include "linear_fit.hpp"

DEFINE_bool(quick, false, "measure smaller sizes only, for a check that the program works");

namespace testbench = shallotcove::testbench;

namespace {

/// One quantity of a measurement, its unit, and the size to which the linear fit is extrapolated.
struct capacity_metric {
    const char* name;
    const char* unit;
    double targetSize;
    std::function<double(const testbench::capacity_sample&)> value;
};

void printTable(const char* sizeName, const std::vector<testbench::capacity_sample>& samples,
    const std::vector<capacity_metric>& metrics)
{
    for (const capacity_metric& metric : metrics) {
        std::vector<std::pair<double, double>> points;
        std::printf("%-34s", metric.name);
        for (const testbench::capacity_sample& sample : samples) {
            points.emplace_back(sample.size, metric.value(sample));
            std::printf("  %s=%.0f: %.4g", sizeName, sample.size, points.back().second);
        }
        const testbench::linear_fit fit = testbench::fitLine(points);
        std::printf(
            "\n%-34s  slope %.4g %s each, intercept %.4g, largest residual %.1f%%, at %.0f: %.4g %s\n", "",
            fit.slope, metric.unit, fit.intercept, 100 * fit.largestResidual, metric.targetSize,
            fit.at(metric.targetSize), metric.unit);
    }
}

std::vector<testbench::capacity_sample> measure(
    const std::vector<std::size_t>& sizes, testbench::capacity_sample (*measureOne)(std::size_t))
{
    std::vector<testbench::capacity_sample> samples;
    for (const std::size_t size : sizes)
        samples.push_back(measureOne(size));
    return samples;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("prints measured slopes of state, processor time and messages of one host");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using sizes = std::vector<std::size_t>;
    using sample = testbench::capacity_sample;

    std::printf("Membership, by hosts in the list (no changes; 20 s of fleet time)\n");
    printTable("n",
        measure(FLAGS_quick ? sizes { 3, 9 } : sizes { 9, 18, 27, 54, 81 }, testbench::measureMembership),
        { { "bytes sent a second", "B/s", 1625, [](const sample& s) { return s.bytesPerSecond; } },
            { "share of a core", "", 1625, [](const sample& s) { return s.coreShare; } },
            { "allocated bytes", "B", 1625, [](const sample& s) { return s.allocatedBytes; } } });

    std::printf("\nConfiguration, by services with 7 backend servers each\n");
    printTable("s",
        measure(FLAGS_quick ? sizes { 50, 100 } : sizes { 500, 1000, 2000, 4000, 11000 },
            testbench::measureConfiguration),
        { { "allocated bytes, control engine", "B", 11000, [](const sample& s) { return s.allocatedBytes; } },
            { "allocated bytes, packet engine view", "B", 11000,
                [](const sample& s) { return s.packetEngineBytes; } },
            { "start-up, seconds", "s", 11000, [](const sample& s) { return s.startupSeconds; } },
            { "one change, control thread, seconds", "s", 11000,
                [](const sample& s) { return s.controlChangeSeconds; } },
            { "one change, packet thread, seconds", "s", 11000,
                [](const sample& s) { return s.packetChangeSeconds; } } });

    std::printf("\nFlows held by one host\n");
    printTable("f",
        measure(FLAGS_quick ? sizes { 1000, 2000 } : sizes { 50000, 100000, 200000, 300000, 400000 },
            testbench::measureFlows),
        { { "allocated bytes, flow tables", "B", 300000, [](const sample& s) { return s.allocatedBytes; } },
            { "known flow, ns", "ns", 300000, [](const sample& s) { return s.knownFlowNanoseconds; } },
            { "new flow, ns", "ns", 300000, [](const sample& s) { return s.newFlowNanoseconds; } } });
    return 0;
}
