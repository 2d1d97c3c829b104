#include "signal_shutdown.hpp"

#include <csignal>
#include <cstdlib>

#include <criterion/criterion.h>

#include "host_fixture.hpp"

namespace daemon_ns = shallotcove::daemon;
namespace testing = shallotcove::daemon::testing;

namespace {

// Runs a host until its shutdown completes, with this number of SIGTERM signals pending from the start.
void runWithSignals(int count)
{
    testing::platform_standins platform;
    const std::unique_ptr<daemon_ns::event_log> log = testing::errorLog();
    const std::unique_ptr<daemon_ns::host> host
        = std::move(*daemon_ns::host::create(testing::hostSettings(platform, "buc-a-1", {}), *log));
    boost::asio::io_context context { 1 };
    daemon_ns::signal_shutdown shutdown(context, *host, *log);
    for (int i = 0; i < count; ++i)
        std::raise(SIGTERM);
    context.run();
}

} // namespace

// The first signal must start a graceful shutdown, which ends after the quiet period of 2 s, not before, and
// does not hang.
Test(signal_shutdown, first_signal_is_graceful, .exit_code = EXIT_SUCCESS, .timeout = 30)
{
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    runWithSignals(1);
    cr_assert(std::chrono::steady_clock::now() - start >= std::chrono::seconds { 2 });
}

// A second signal must end the process while the graceful shutdown still waits for the fabric to go quiet.
Test(signal_shutdown, second_signal_exits_immediately, .exit_code = 128 + SIGTERM, .timeout = 30)
{
    runWithSignals(2);
}
