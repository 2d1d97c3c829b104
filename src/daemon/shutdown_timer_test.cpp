#include "shutdown_timer.hpp"

#include <vector>

#include <criterion/criterion.h>

namespace core = shallotcove::core;
namespace daemon_ns = shallotcove::daemon;

namespace {

core::timestamp at(double seconds)
{
    return { std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(seconds)) };
}

struct row {
    double lastPacket;
    double now;
    daemon_ns::shutdown_state state;
};

} // namespace

// A shutdown must not end while the fabric still sends packets, and must end at the timeout at the latest.
Test(shutdown_timer, waits_for_quiet_up_to_the_timeout)
{
    daemon_ns::shutdown_timer timer({ std::chrono::seconds { 2 }, std::chrono::seconds { 30 } });
    cr_assert(timer.state(at(0), at(99)) == daemon_ns::shutdown_state::Running);
    cr_assert(timer.start(at(100)));
    cr_assert(!timer.start(at(101)), "a second start must not extend the timeout");
    const std::vector<row> table {
        { 0, 101.9, daemon_ns::shutdown_state::Draining },
        { 0, 102, daemon_ns::shutdown_state::Quiet },
        { 101, 102.9, daemon_ns::shutdown_state::Draining },
        { 101, 103, daemon_ns::shutdown_state::Quiet },
        { 129, 129.9, daemon_ns::shutdown_state::Draining },
        { 129, 130, daemon_ns::shutdown_state::TimedOut },
    };
    for (const row& entry : table)
        cr_assert(timer.state(at(entry.lastPacket), at(entry.now)) == entry.state, "at %f", entry.now);
}
