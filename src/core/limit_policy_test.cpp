#include <shallotcove/core/limit_policy.hpp>

#include <memory>
#include <vector>

#include <criterion/criterion.h>

#include <shallotcove/core/limit_coordinator.hpp>

namespace core = shallotcove::core;

namespace {

constexpr core::service_id service { 7 };
constexpr core::backend_server_id server { 2 };
constexpr core::host_id self { 11 };

std::shared_ptr<const core::service_config> serviceWith(
    std::vector<core::epoch_plan> epochs, std::uint32_t servers = 6)
{
    core::service_config config;
    config.id = service;
    for (std::uint32_t id = 1; id <= servers; ++id) {
        core::backend_server backend;
        backend.id = { id };
        config.servers.push_back(backend);
    }
    config.epochs = std::move(epochs);
    return std::make_shared<const core::service_config>(config);
}

core::epoch_plan epoch(std::uint64_t number, core::epoch_phase phase, std::uint32_t servers)
{
    core::epoch_plan plan { { number }, phase, {} };
    for (std::uint32_t id = 1; id <= servers; ++id)
        plan.servers.push_back({ { id }, 100 });
    return plan;
}

core::limit_policy_input steadyInput(std::vector<core::server_limit> limits = {})
{
    core::limit_policy_input input;
    input.self = self;
    core::member host;
    host.id = self;
    input.owners = { host };
    input.services = { serviceWith({ epoch(1, core::epoch_phase::Active, 6) }) };
    input.limits = std::move(limits);
    input.now = { std::chrono::seconds { 100 } };
    return input;
}

core::server_evidence evidence(std::uint32_t established, std::uint32_t silent, std::uint32_t repeated = 0)
{
    core::server_evidence report;
    report.service = service;
    report.server = server;
    report.newFlows = established + silent;
    report.establishedFlows = established;
    report.silentFlows = silent;
    report.retransmittedFirstPackets = repeated;
    return report;
}

core::server_limit limitOf(core::limit_kind kind, std::uint32_t flowsPerSecond)
{
    return { service, server, 4, { 99 }, kind, flowsPerSecond };
}

struct evidence_case {
    const char* name;
    core::limit_kind kind;
    std::uint32_t flowsPerSecond;
    core::server_evidence evidence;
    bool isChanged;
    core::limit_kind expectedKind;
    std::uint32_t expectedFlowsPerSecond;
};

} // namespace

// Guards against wrong reactions of a server's coordinator to flow outcomes.
Test(limit_policy, reacts_to_flows)
{
    using kind = core::limit_kind;
    const std::vector<evidence_case> cases {
        { "healthy flows leave an unlimited server alone", kind::Clear, 0, evidence(100, 1), false,
            kind::Clear, 0 },
        { "too few flows change nothing", kind::Clear, 0, evidence(1, 3), false, kind::Clear, 0 },
        { "failing flows bring the cold limit back", kind::Clear, 0, evidence(60, 20, 10), true, kind::Cold,
            10 },
        { "good flows let a cold limit grow", kind::Cold, 10, evidence(20, 0), true, kind::Cold, 16 },
        { "no flows are no evidence for growth", kind::Cold, 10, evidence(0, 0), false, kind::Cold, 10 },
        { "mixed outcomes stop growth", kind::Cold, 10, evidence(18, 2), false, kind::Cold, 10 },
        { "failing flows halve a grown limit", kind::Cold, 80, evidence(12, 6), true, kind::Cold, 40 },
        { "a limit never falls below the cold capacity", kind::Cold, 10, evidence(12, 6), false, kind::Cold,
            10 },
        { "a limit that grows past the warm capacity is cleared", kind::Cold, 600, evidence(50, 0), true,
            kind::Clear, 0 },
        { "a server that answers nothing is dead", kind::Clear, 0, evidence(0, 40), true, kind::Dead, 0 },
    };
    for (const evidence_case& test : cases) {
        core::limit_policy policy = core::limit_policy::create({});
        policy.addEvidence(test.evidence);
        const std::vector<core::server_limit> proposals
            = policy.propose(steadyInput({ limitOf(test.kind, test.flowsPerSecond) }));
        cr_assert(proposals.size() == (test.isChanged ? 1U : 0U), "%s", test.name);
        if (!test.isChanged)
            continue;
        cr_assert(proposals[0].kind == test.expectedKind, "%s", test.name);
        cr_assert(proposals[0].newFlowsPerSecond == test.expectedFlowsPerSecond, "%s: %u", test.name,
            proposals[0].newFlowsPerSecond);
        cr_assert(proposals[0].sequence == 5 && proposals[0].proposer == self, "%s", test.name);
    }
}

// Guards against several hosts raising the same limit in one period, which would multiply its growth.
Test(limit_policy, only_the_coordinator_raises_a_limit)
{
    core::limit_policy_input input = steadyInput({ limitOf(core::limit_kind::Cold, 10) });
    for (std::uint64_t id = 1; id <= 9; ++id) {
        core::member host;
        host.id = { id };
        input.owners.push_back(host);
    }
    std::size_t raised = 0;
    for (const core::member& host : input.owners) {
        input.self = host.id;
        core::limit_policy policy = core::limit_policy::create({});
        policy.addEvidence(evidence(20, 0));
        const bool isRaised = !policy.propose(input).empty();
        cr_assert(isRaised == (core::limitCoordinatorOf(input.owners, service, server) == host.id));
        raised += isRaised ? 1 : 0;
    }
    cr_assert(raised == 1);
}

// Guards against a full share of new flows for a server that was just added or has returned.
Test(limit_policy, new_server_starts_cold)
{
    core::limit_policy policy = core::limit_policy::create({});
    core::limit_policy_input input = steadyInput();
    input.services = { serviceWith(
        { epoch(1, core::epoch_phase::Active, 5), epoch(2, core::epoch_phase::Prepared, 6) }) };
    const std::vector<core::server_limit> proposals = policy.propose(input);
    cr_assert(proposals.size() == 1);
    cr_assert(proposals[0].server.value == 6 && proposals[0].kind == core::limit_kind::Cold
        && proposals[0].newFlowsPerSecond == 10);
}

// Guards against a faulty host, for example one whose probes all fail, that limits most servers of a service
// as dead.
Test(limit_policy, never_limits_more_than_a_third_as_dead)
{
    core::limit_policy policy = core::limit_policy::create({});
    core::limit_policy_input input = steadyInput();
    for (std::uint32_t id = 1; id <= 6; ++id)
        policy.setHealth(service, { id }, false);
    cr_assert(policy.propose(input).empty(), "servers are limited as dead after a single failed period");
    input.now = input.now + std::chrono::seconds { 2 };
    cr_assert(policy.propose(input).size() == 2);
    cr_assert(policy.suppressedDeadServers() == 4);
}

// Guards against a full share of new flows for a dead server as soon as it answers again.
Test(limit_policy, dead_server_returns_cold)
{
    core::limit_policy policy = core::limit_policy::create({});
    core::limit_policy_input input = steadyInput({ limitOf(core::limit_kind::Dead, 0) });
    cr_assert(policy.propose(input).empty());
    input.now = input.now + std::chrono::seconds { 2 };
    const std::vector<core::server_limit> proposals = policy.propose(input);
    cr_assert(proposals.size() == 1);
    cr_assert(proposals[0].kind == core::limit_kind::Cold && proposals[0].newFlowsPerSecond == 10);
}
