#include <shallotcove/daemon/metrics.hpp>

#include <criterion/criterion.h>

#include "host_fixture.hpp"

namespace daemon_ns = shallotcove::daemon;
namespace testing = shallotcove::daemon::testing;

namespace {

std::unique_ptr<daemon_ns::metrics> createOnLoopback()
{
    return std::move(*daemon_ns::metrics::create(testing::parsedAddress("127.0.0.1:0")));
}

} // namespace

// Each value must appear in the series of its metric and labels.
Test(metrics, serves_values_with_labels)
{
    const std::unique_ptr<daemon_ns::metrics> metrics = createOnLoopback();
    metrics->add(daemon_ns::metric::OperatorCalls, { "status", "ok" }, 2);
    metrics->raiseTo(daemon_ns::metric::StoreCalls, {}, 7);
    metrics->raiseTo(daemon_ns::metric::StoreCalls, {}, 5);
    metrics->set(daemon_ns::metric::Members, { "Alive" }, 9);
    metrics->observe(daemon_ns::metric::PacketHandling, { "mostre" }, 3e-6);
    // A call that does not match the kind of the metric must not change the series.
    metrics->set(daemon_ns::metric::StoreCalls, {}, 99);
    const std::string page = testing::readMetrics(metrics->address());
    // prometheus-cpp orders labels by their hash, so both orders are accepted.
    const std::string calls = "shallotcove_operator_calls_total{";
    cr_assert(page.find(calls + "operation=\"status\",outcome=\"ok\"} 2") != std::string::npos
        || page.find(calls + "outcome=\"ok\",operation=\"status\"} 2") != std::string::npos);
    cr_assert(page.find("shallotcove_store_calls_total 7") != std::string::npos);
    cr_assert(page.find("shallotcove_members{state=\"Alive\"} 9") != std::string::npos);
    cr_assert(page.find("shallotcove_packet_handling_seconds_bucket{service=\"mostre\",le=\"5e-06\"} 1")
        != std::string::npos);
    cr_assert(page.find("shallotcove_packet_handling_seconds_bucket{service=\"mostre\",le=\"2e-06\"} 0")
        != std::string::npos);
}
