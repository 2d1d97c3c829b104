#include <shallotcove/core/planner.hpp>

#include <memory>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace core = shallotcove::core;

namespace {

constexpr core::service_id serviceId { 7 };
constexpr core::config_index modifiedIndex { 50 };
constexpr core::config_index earlierIndex { 49 };

core::service_config serviceWithServers(std::uint32_t count)
{
    core::service_config config;
    config.id = serviceId;
    config.name = "rezervari";
    for (std::uint32_t id = 1; id <= count; ++id) {
        core::backend_server server;
        server.id = { id };
        server.dataCentre = id % 2 == 0 ? "buc-a" : "buc-b";
        config.servers.push_back(server);
    }
    return config;
}

core::epoch_plan makeEpoch(
    std::uint64_t number, core::epoch_phase phase, const std::vector<std::uint32_t>& servers)
{
    core::epoch_plan plan { { number }, phase, {} };
    for (const std::uint32_t id : servers)
        plan.servers.push_back({ { id }, 100 });
    return plan;
}

core::planner_input inputFor(const core::service_config& config)
{
    core::planner_input input;
    input.services.push_back(
        { "services/rezervari", modifiedIndex, std::make_shared<const core::service_config>(config) });
    input.minimumApplied = modifiedIndex;
    input.minimumRetirementScan = modifiedIndex;
    input.minimumPreparedScan = modifiedIndex;
    input.now = { std::chrono::seconds { 100 } };
    return input;
}

std::vector<core::planned_write> planOnce(const core::planner_input& input)
{
    core::planner planner = core::planner::create({});
    return planner.plan(input);
}

/// A service with a drain in progress: server 2 is no longer in the prepared epoch.
core::service_config drainingService()
{
    core::service_config config = serviceWithServers(3);
    config.servers[1].state = core::server_state::Draining;
    config.epochs = { makeEpoch(1, core::epoch_phase::Active, { 1, 2, 3 }),
        makeEpoch(2, core::epoch_phase::Prepared, { 1, 3 }) };
    return config;
}

} // namespace

// The first epoch of a new service must wait until its servers are limited. Otherwise the full load of the
// service would reach them while they are cold.
Test(planner, first_epoch_waits_for_limits)
{
    const std::vector<core::planned_write> writes = planOnce(inputFor(serviceWithServers(2)));
    cr_assert(writes.size() == 1);
    cr_assert(writes[0].expected == modifiedIndex);
    cr_assert(writes[0].config.epochs == std::vector { makeEpoch(1, core::epoch_phase::Prepared, { 1, 2 }) });

    core::planner_input input = inputFor(writes[0].config);
    input.limitedServers.insert({ serviceId, { 1 } });
    cr_assert(planOnce(input).empty());
    input.limitedServers.insert({ serviceId, { 2 } });
    const std::vector<core::planned_write> activation = planOnce(input);
    cr_assert(activation.size() == 1);
    cr_assert(activation[0].config.epochs.back().phase == core::epoch_phase::Active);
}

// An epoch must not become active before every host that may be serving has applied it. Otherwise some hosts
// would place flows by an epoch that others do not know.
Test(planner, activates_only_when_applied_everywhere)
{
    core::planner_input input = inputFor(drainingService());
    input.minimumApplied = earlierIndex;
    cr_assert(planOnce(input).empty());
    input.minimumApplied = modifiedIndex;
    const std::vector<core::planned_write> writes = planOnce(input);
    cr_assert(writes.size() == 1);
    cr_assert(writes[0].config.epochs.back().phase == core::epoch_phase::Active);
    cr_assert(writes[0].config.epochs.size() == 2);
}

// A datagram does not show whether it starts a flow. Open datagram flows must therefore be tracked before a
// new epoch becomes active, or they would be taken for new flows at that moment.
Test(planner, datagram_epoch_waits_for_tracked_flows)
{
    core::service_config config = drainingService();
    config.protocol = core::transport::Udp;
    core::planner_input input = inputFor(config);
    input.minimumPreparedScan = earlierIndex;
    cr_assert(planOnce(input).empty());
    input.minimumPreparedScan = modifiedIndex;
    cr_assert(planOnce(input).size() == 1);
}

// A new server must not receive its full share while it is cold: the epoch that adds it becomes active only
// once every alive host has acknowledged the server's limit.
Test(planner, new_server_waits_for_its_limit)
{
    core::service_config config = serviceWithServers(3);
    config.epochs = { makeEpoch(1, core::epoch_phase::Active, { 1, 2 }),
        makeEpoch(2, core::epoch_phase::Prepared, { 1, 2, 3 }) };
    core::planner_input input = inputFor(config);
    cr_assert(planOnce(input).empty());
    input.limitedServers.insert({ serviceId, { 3 } });
    cr_assert(planOnce(input).size() == 1);
}

// The servers of a returning data centre are cold, although an older live epoch still contains them. The
// epoch that adds them again must wait for their limits too.
Test(planner, returning_server_waits_for_its_limit)
{
    core::service_config config = serviceWithServers(3);
    config.epochs = { makeEpoch(1, core::epoch_phase::Active, { 1, 2, 3 }),
        makeEpoch(2, core::epoch_phase::Active, { 1, 3 }),
        makeEpoch(3, core::epoch_phase::Prepared, { 1, 2, 3 }) };
    cr_assert(planOnce(inputFor(config)).empty());
}

// An epoch must not retire while open flows need it: neither while a host reports the service as blocked, nor
// before every host that may be serving has scanned its flows.
Test(planner, retires_only_when_scanned_and_not_blocked)
{
    core::service_config config = drainingService();
    config.epochs.back().phase = core::epoch_phase::Active;
    core::planner_input input = inputFor(config);
    input.blockedServices.insert(serviceId);
    cr_assert(planOnce(input).empty());
    input.blockedServices.clear();
    input.minimumRetirementScan = earlierIndex;
    cr_assert(planOnce(input).empty());
    input.minimumRetirementScan = modifiedIndex;
    const std::vector<core::planned_write> writes = planOnce(input);
    cr_assert(writes.size() == 1);
    cr_assert(writes[0].config.epochs == std::vector { makeEpoch(2, core::epoch_phase::Active, { 1, 3 }) });
}

// A change that arrives while an epoch is prepared must replace that epoch at once. It must neither wait for
// the epoch to become active nor get lost.
Test(planner, overlapping_change_replaces_prepared_epoch)
{
    core::service_config config = drainingService();
    config.servers[0].state = core::server_state::Draining;
    const std::vector<core::planned_write> writes = planOnce(inputFor(config));
    cr_assert(writes.size() == 1);
    cr_assert(writes[0].config.epochs.back() == makeEpoch(3, core::epoch_phase::Prepared, { 3 }));
}

// A data centre that operators took out must not keep its share of new flows.
Test(planner, omits_servers_of_data_centre_out)
{
    core::service_config config = serviceWithServers(4);
    config.epochs = { makeEpoch(1, core::epoch_phase::Active, { 1, 2, 3, 4 }) };
    core::planner_input input = inputFor(config);
    input.dataCentresOut.insert("buc-a");
    const std::vector<core::planned_write> writes = planOnce(input);
    cr_assert(writes.size() == 1);
    cr_assert(writes[0].config.epochs.back() == makeEpoch(2, core::epoch_phase::Prepared, { 1, 3 }));
}

// Each change of weights adds a live epoch. Small or frequent changes of the estimated capacity must
// therefore not all be applied, or they would use up the live epochs.
Test(planner, limits_weight_changes)
{
    core::service_config config = serviceWithServers(2);
    config.epochs = { makeEpoch(1, core::epoch_phase::Active, { 1, 2 }) };
    core::planner planner = core::planner::create({});
    core::planner_input input = inputFor(config);
    input.capacityFactors[{ serviceId, { 1 } }] = 1.04;
    cr_assert(planner.plan(input).empty(), "a change below 5%% must not get an epoch");
    input.capacityFactors[{ serviceId, { 1 } }] = 0.5;
    const std::vector<core::planned_write> writes = planner.plan(input);
    cr_assert(writes.size() == 1);
    cr_assert(writes[0].config.epochs.back().servers[0].weight == 50);

    core::service_config changed = writes[0].config;
    changed.epochs.back().phase = core::epoch_phase::Active;
    core::planner_input later = inputFor(changed);
    later.blockedServices.insert(serviceId);
    later.capacityFactors[{ serviceId, { 1 } }] = 0.8;
    later.now = input.now + std::chrono::seconds { 9 };
    cr_assert(planner.plan(later).empty(), "a second weight change within 10 s");
    later.now = input.now + std::chrono::seconds { 10 };
    cr_assert(planner.plan(later).size() == 1);
}

// A change of many services at once must not flood the store with writes.
Test(planner, bounds_writes_per_second)
{
    core::planner planner = core::planner::create({});
    core::planner_input input = inputFor(serviceWithServers(1));
    for (int copy = 0; copy < 500; ++copy)
        input.services.push_back(input.services.front());
    cr_assert(planner.plan(input).size() == 100);
    cr_assert(planner.plan(input).empty());
    input.now = input.now + std::chrono::seconds { 1 };
    cr_assert(planner.plan(input).size() == 100);
}
