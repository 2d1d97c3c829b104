// Fuzzes a simulated fleet of entry hosts with operator changes, flows and faults and checks the ten
// invariants of docs/design.md. Only the decision logic runs; there are no sockets, threads or real clocks.
#include <cstdio>

#include <gflags/gflags.h>

#include "fuzz_steps.hpp"

DEFINE_uint64(seed, 1, "seed of the first sequence; each further one has the next");
DEFINE_uint64(steps, 60, "steps of a sequence");
DEFINE_uint64(sequences, 1, "sequences to run");
DEFINE_string(invariant, "", "check only this one, I1 to I10");
DEFINE_uint32(broken, 0, "number of a deliberately broken variant, as its invariant; 0 is the product");
DEFINE_uint64(shrink_runs, 200, "runs to shorten a failing sequence");

DEFINE_int64(
    show_flow, -1, "print the changes, faults and the packets of this flow in the first sequence, and end");

namespace testbench = shallotcove::testbench;

namespace {

void print(const testbench::run_history& history, std::uint32_t flow)
{
    const auto seconds = [](shallotcove::core::timestamp at) {
        return std::chrono::duration<double>(at.sinceStart).count();
    };
    for (const testbench::accepted_change& change : history.accepted)
        std::printf("%.2f change %d service %u server %u address %u data centre %u\n", seconds(change.at),
            static_cast<int>(change.kind), change.service, change.server, change.address, change.dataCentre);
    for (const testbench::disturbance& item : history.disturbances)
        std::printf("%.2f to %.2f fault %d target %u\n", seconds(item.from), seconds(item.to),
            static_cast<int>(item.kind), item.target);
    for (const testbench::received_packet& packet : history.received)
        if (packet.flow == flow)
            std::printf("%.3f in: packet %u at host %u\n", seconds(packet.at), packet.number, packet.host);
    for (const testbench::forwarded_packet& packet : history.forwarded)
        if (packet.flow == flow)
            std::printf("%.3f out: packet %u, copy of %.3f, by host %u to service %u server %u\n",
                seconds(packet.at), packet.number, seconds(history.received[packet.receivedIndex].at),
                packet.host, packet.service, packet.server);
    for (const testbench::refused_packet& refusal : history.refused)
        if (refusal.flow == flow)
            std::printf("%.3f refused: packet %u\n", seconds(refusal.at), refusal.number);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const testbench::fuzz_options options { .seed = FLAGS_seed,
        .steps = FLAGS_steps,
        .sequences = FLAGS_sequences,
        .variant = static_cast<testbench::broken_variant>(FLAGS_broken),
        .invariant = FLAGS_invariant,
        .shrinkRuns = FLAGS_shrink_runs };
    if (FLAGS_show_flow >= 0) {
        print(testbench::runSequence(
                  options.seed, testbench::generateSteps(options.seed, options.steps), options.variant),
            std::uint32_t(FLAGS_show_flow));
        return 0;
    }
    const std::optional<testbench::fuzz_failure> failure = testbench::fuzz(options);
    if (failure) {
        std::printf("%s\n", testbench::describe(*failure, options).c_str());
        return 1;
    }
    std::printf("%lu sequences of %lu steps from seed %lu on: no violation\n", FLAGS_sequences, FLAGS_steps,
        FLAGS_seed);
    return 0;
}
