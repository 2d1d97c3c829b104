#include <algorithm>

#include <criterion/criterion.h>

#include <shallotcove/core/config_json.hpp>

#include "control_fleet.hpp"
#include "limit_table.hpp"

namespace core = shallotcove::core;
using core::control_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::service_id service { 1 };
constexpr core::backend_server_id server { 2 };

core::service_config serviceWith(std::uint32_t servers)
{
    core::service_config config;
    config.id = service;
    config.name = "rezervari";
    config.revision = 1;
    config.address = *core::socket_address::parse("192.0.2.1:80");
    core::epoch_plan plan { { 1 }, core::epoch_phase::Active, {} };
    for (std::uint32_t id = 1; id <= servers; ++id) {
        core::backend_server one;
        one.id = { id };
        one.dataCentre = "dc-0";
        one.address = { core::ip_address::fromV4(0x0a000000U + id), 80 };
        config.servers.push_back(one);
        plan.servers.push_back({ { id }, 100 });
    }
    config.nextServerId = servers + 1;
    config.epochs.push_back(plan);
    return config;
}

/// Starts a fleet with a service of 6 servers, waits until all hosts have applied it, and runs it for 5 s
/// more.
control_fleet startFleet(std::size_t count)
{
    control_fleet fleet(count);
    for (std::size_t i = 0; i < count; ++i)
        fleet.start(i, { control_fleet::addressOf(0) });
    const core::config_index index
        = fleet.write("services/rezervari", core::formatServiceConfig(serviceWith(6)));
    cr_assert(
        fleet.runUntil([&] { return fleet.isConverged() && fleet.haveAllApplied(index); }, seconds { 20 }));
    fleet.run(seconds { 5 });
    return fleet;
}

void reportFlows(control_fleet& fleet, std::size_t host, std::uint32_t good, std::uint32_t bad,
    const std::vector<core::backend_server_id>& servers = { server })
{
    core::packet_engine_output output;
    for (const core::backend_server_id one : servers)
        output.servers.push_back({ service, one, good + bad, 0, good, bad, 0 });
    fleet.hosts[host].engine->handlePacketEngineOutput(output, fleet.now);
}

std::optional<core::effective_limit> limitAt(const control_fleet& fleet, std::size_t host)
{
    const std::vector<core::effective_limit>& limits = fleet.hosts[host].snapshot->limits;
    return limits.empty() ? std::nullopt : std::optional(limits.front());
}

bool isAtStageEverywhere(const control_fleet& fleet, core::limit_stage stage)
{
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i)
        if (fleet.hosts[i].engine && (!limitAt(fleet, i) || limitAt(fleet, i)->stage != stage))
            return false;
    return true;
}

/// Checks that the limit is effective at a host only if every running host knows it.
void checkKnownWhereEffective(const control_fleet& fleet)
{
    bool isEffective = false;
    bool isKnown = true;
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
        if (!fleet.hosts[i].engine)
            continue;
        const std::optional<core::effective_limit> limit = limitAt(fleet, i);
        isEffective = isEffective || (limit && limit->stage == core::limit_stage::Effective);
        isKnown = isKnown && limit;
    }
    cr_assert(!isEffective || isKnown);
}

} // namespace

// Guards against a limit that takes effect, so that flows are placed on other servers, while some host does
// not know of it and still assumes that every flow of the limited server is on that server.
Test(limit_spread, effective_only_when_all_alive_hosts_know_the_limit)
{
    for (const double loss : { 0.0, 0.3 })
        for (const std::size_t count : { 3UL, 9UL, 27UL }) {
            control_fleet fleet = startFleet(count);
            fleet.loss = loss;
            reportFlows(fleet, 1, 10, 20);
            const auto isEffective = [&] {
                checkKnownWhereEffective(fleet);
                return isAtStageEverywhere(fleet, core::limit_stage::Effective);
            };
            const std::optional<core::duration> took = fleet.runUntil(isEffective, seconds { 15 });
            cr_assert(took.has_value(), "%zu hosts", count);
            cr_log_info("%zu hosts, %.0f%% loss: effective everywhere %.2f s after the evidence", count,
                loss * 100, std::chrono::duration<double>(*took).count());
            cr_assert(limitAt(fleet, 0)->limit.kind == core::limit_kind::Cold);
        }
}

// Guards against a limit that takes effect without the acknowledgement of a cut-off host that may still place
// flows, and against a limit that is still blocked by that host once it is dead.
Test(limit_spread, waits_for_unreachable_host_until_it_is_dead)
{
    control_fleet fleet = startFleet(9);
    fleet.isCut = [](std::size_t from, std::size_t to) { return from == 8 || to == 8; };
    fleet.run(milliseconds { 50 });
    reportFlows(fleet, 1, 10, 20);
    const auto isEffective
        = [&] { return limitAt(fleet, 1) && limitAt(fleet, 1)->stage == core::limit_stage::Effective; };
    cr_assert(fleet.runUntil(
        [&] {
            const bool isDead = fleet.view(1, 8)->state == core::member_state::Dead;
            cr_assert(isDead || !isEffective());
            return isDead;
        },
        seconds { 3 }));
    cr_assert(fleet.runUntil(isEffective, seconds { 3 }).has_value());
    fleet.isCut = [](std::size_t, std::size_t) { return false; };
    const auto isKnownThere = [&] { return limitAt(fleet, 8).has_value(); };
    cr_assert(fleet.runUntil(isKnownThere, seconds { 10 }).has_value());
}

// Guards against a restarted host that others assume to still know the limits from before its restart.
Test(limit_spread, restarted_host_learns_limits)
{
    for (const double loss : { 0.0, 0.3 }) {
        control_fleet fleet = startFleet(9);
        reportFlows(fleet, 1, 10, 20, { { 1 }, { 2 }, { 3 }, { 4 }, { 5 }, { 6 } });
        const auto isEffective = [&] {
            return isAtStageEverywhere(fleet, core::limit_stage::Effective)
                && fleet.hosts[0].snapshot->limits.size() == 6;
        };
        cr_assert(fleet.runUntil(isEffective, seconds { 10 }).has_value());
        fleet.loss = loss;
        for (const std::size_t host : { 0UL, 1UL, 5UL, 2UL, 3UL, 4UL, 6UL }) {
            fleet.stop(host);
            fleet.start(host, { control_fleet::addressOf(7), control_fleet::addressOf(8) });
            fleet.run(milliseconds { 10 });
            const auto isReady
                = [&] { return fleet.hosts[host].snapshot->sync == core::sync_state::Synchronized; };
            cr_assert(fleet.runUntil(isReady, seconds { 5 }).has_value());
            const std::size_t known = fleet.hosts[host].snapshot->limits.size();
            cr_assert(known == 6, "host %zu knows %zu limits, loss %.1f", host, known, loss);
            fleet.run(milliseconds { 310 });
        }
    }
}

// Guards against a cleared limit that is dropped while a host still holds flows that were placed because of
// it.
Test(limit_spread, cleared_limit_lingers_while_flows_depend_on_it)
{
    core::limit_table table({ 1 }, 1);
    const core::timestamp start {};
    const auto at = [&](int time) { return start + seconds { time }; };
    core::server_limit limit { service, server, 1, { 1 }, core::limit_kind::Cold, 10 };
    table.propose(limit, at(0));
    table.advance({ { 2 } }, at(0));
    cr_assert(table.effectiveLimits().front().stage == core::limit_stage::Pending);
    cr_assert(table.merge({ 2 }, { limit, { { 2 } } }, at(1)) == false);
    table.advance({ { 2 } }, at(1));
    cr_assert(table.limitedServers().contains({ service, server }));
    limit = { service, server, 2, { 2 }, core::limit_kind::Clear, 0 };
    cr_assert(table.merge({ 2 }, { limit, { { 2 } } }, at(2)));
    table.acknowledgeCleared([](core::service_id) { return true; }, at(30));
    table.advance({ { 2 } }, at(30));
    cr_assert(table.effectiveLimits().front().stage == core::limit_stage::Cleared);
    table.acknowledgeCleared([](core::service_id) { return false; }, at(31));
    table.advance({ { 2 } }, at(31));
    cr_assert(table.effectiveLimits().empty());
    // The sequence number is kept, so that a late message with the old limit does not restore it.
    const core::server_limit late { service, server, 1, { 1 }, core::limit_kind::Cold, 10 };
    cr_assert(!table.merge({ 3 }, { late, {} }, at(32)));
    cr_assert(table.effectiveLimits().empty());
}

// Guards against messages that are too long, and against limits that are never sent because others always
// take the space.
Test(limit_spread, many_limits_are_sent_in_parts)
{
    core::limit_table table({ 1 }, 1);
    for (std::uint32_t id = 1; id <= 200; ++id)
        table.propose({ service, { id }, 1, { 1 }, core::limit_kind::Cold, 10 }, {});
    std::vector<core::host_id> hosts;
    for (std::uint64_t host = 1; host <= 81; ++host)
        hosts.push_back({ host });
    for (const core::server_limit& limit : table.limits())
        table.merge({ 2 }, { limit, hosts }, {});
    std::set<core::backend_server_id> sent;
    for (int message = 0; message < 3000; ++message) {
        std::size_t bytes = 0;
        for (const core::limit_update& update : table.selectUpdates({ 99 }, 1000)) {
            bytes += 40 + 9 * update.acknowledgedBy.size();
            sent.insert(update.limit.server);
        }
        cr_assert(bytes <= 1000);
    }
    cr_assert(sent.size() == 200);
}

// Guards against a restarted host that never learns a limit because others report its acknowledgement from
// before the restart.
Test(limit_spread, acknowledgements_from_before_a_restart_do_not_count)
{
    core::limit_table table({ 1 }, 1);
    const core::server_limit limit { service, server, 1, { 1 }, core::limit_kind::Cold, 10 };
    table.propose(limit, {});
    table.merge({ 2 }, { limit, { { 2 } } }, {});
    const core::timestamp restart { seconds { 1 } };
    table.handleHostRestart({ 2 }, restart);
    table.merge({ 3 }, { limit, { { 2 }, { 3 } } }, restart);
    table.advance({ { 2 }, { 3 } }, restart);
    cr_assert(table.effectiveLimits().front().stage == core::limit_stage::Pending);
    table.merge({ 2 }, { limit, { { 2 } } }, restart);
    table.advance({ { 2 }, { 3 } }, restart);
    cr_assert(table.effectiveLimits().front().stage == core::limit_stage::Effective);
}
