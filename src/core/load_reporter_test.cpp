#include "load_reporter.hpp"

#include <criterion/criterion.h>

namespace core = shallotcove::core;

namespace {

constexpr core::timestamp start { std::chrono::seconds { 100 } };

core::server_evidence evidence(std::uint32_t service, std::uint32_t server, std::uint32_t active)
{
    core::server_evidence result;
    result.service = { service };
    result.server = { server };
    result.newFlows = 3;
    result.silentFlows = 1;
    result.retransmittedFirstPackets = 1;
    result.activeFlows = active;
    return result;
}

} // namespace

// Guards against reports that do not fit into a message, and against reports of only some servers of a
// service, from which the planner would compute wrong shares.
Test(load_reporter, reports_whole_services_with_most_flows)
{
    core::load_reporter reporter;
    for (std::uint32_t service = 1; service <= 10; ++service)
        for (std::uint32_t server = 1; server <= 7; ++server)
            reporter.addEvidence(evidence(service, server, service));
    for (std::uint32_t server = 1; server <= core::maximumServersPerReport + 1; ++server)
        reporter.addEvidence(evidence(11, server, 1000));
    const std::optional<core::load_report> report = reporter.advance(9, start);
    cr_assert(report && report->servers.size() == 42);
    for (const core::server_load& load : report->servers)
        cr_assert(load.service.value >= 5 && load.service.value <= 10, "service %u", load.service.value);
}

// Guards against flows that appear in two reports or in none.
Test(load_reporter, counts_flows_between_reports)
{
    core::load_reporter reporter;
    cr_assert(!reporter.advance(9, start).has_value());
    reporter.addEvidence(evidence(1, 1, 20));
    reporter.addEvidence(evidence(1, 1, 25));
    const std::optional<core::load_report> first = reporter.advance(9, start);
    cr_assert(first && first->servers == (std::vector<core::server_load> { { { 1 }, { 1 }, 6, 4, 25 } }));
    reporter.addEvidence(evidence(1, 1, 30));
    const std::optional<core::load_report> second = reporter.advance(9, start + std::chrono::seconds { 2 });
    cr_assert(second && second->servers == (std::vector<core::server_load> { { { 1 }, { 1 }, 3, 2, 30 } }));
    cr_assert(second->sequence > first->sequence);
}

// Guards against a report rate at the planner that grows with the number of hosts, and against hosts that
// send more than 1.5 KB/s.
Test(load_reporter, limits_reports_per_second)
{
    for (const std::size_t hosts : { 1, 9, 81, 1625 }) {
        core::load_reporter reporter;
        std::size_t reports = 0;
        constexpr std::size_t seconds = 1000;
        for (std::size_t step = 0; step < 10 * seconds; ++step) {
            reporter.addEvidence(evidence(1, 1, 20));
            const core::timestamp now = start + std::chrono::milliseconds { 100 * step };
            reports += reporter.advance(hosts, now).has_value() ? 1 : 0;
        }
        cr_assert(reports <= seconds, "%zu hosts: %zu reports", hosts, reports);
        cr_assert((reports - 1) * hosts <= 8 * seconds, "%zu hosts: %zu reports", hosts, reports);
        cr_assert(reports >= 1);
    }
}
