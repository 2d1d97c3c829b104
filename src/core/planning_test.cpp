#include <algorithm>

#include <criterion/criterion.h>

#include <shallotcove/core/config_json.hpp>

#include "control_fleet.hpp"

namespace core = shallotcove::core;
using core::control_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string key = "services/rezervari";

core::backend_server makeServer(std::uint32_t id)
{
    core::backend_server server;
    server.id = { id };
    server.dataCentre = "dc-0";
    server.address = { core::ip_address::fromV4(0x0a000000U + id), 80 };
    return server;
}

core::service_config storedService(const control_fleet& fleet)
{
    return *core::parseServiceConfig(fleet.store.at(key).value);
}

/// Writes the service to the store, as an operator's change does: servers 1 to count are active, others
/// removed.
void writeService(control_fleet& fleet, std::uint32_t count)
{
    core::service_config config;
    if (fleet.store.contains(key))
        config = storedService(fleet);
    config.id = { 1 };
    config.name = "rezervari";
    config.address = *core::socket_address::parse("192.0.2.1:80");
    config.revision += 1;
    for (; config.nextServerId <= count; ++config.nextServerId)
        config.servers.push_back(makeServer(config.nextServerId));
    for (core::backend_server& server : config.servers)
        server.state = server.id.value <= count ? core::server_state::Active : core::server_state::Removed;
    fleet.write(key, core::formatServiceConfig(config));
}

control_fleet startFleet(std::size_t count, std::size_t leaseHolder)
{
    control_fleet fleet(count);
    for (std::size_t i = 0; i < count; ++i)
        fleet.start(i, { control_fleet::addressOf(0) });
    fleet.hosts[leaseHolder].holdsLease = true;
    cr_assert(
        fleet.runUntil([&] { return fleet.isConverged() && fleet.haveAllApplied({ 1 }); }, seconds { 20 }));
    return fleet;
}

/// Reports for every running host that its packet engine has scanned all flows.
void reportCompleteScans(control_fleet& fleet)
{
    for (control_fleet::host& host : fleet.hosts) {
        core::packet_engine_output output;
        if (host.engine)
            output.retirementScanIndex = output.preparedScanIndex = host.engine->appliedIndex();
        if (host.engine)
            host.engine->handlePacketEngineOutput(output, fleet.now);
    }
}

bool hasOneActiveEpoch(const control_fleet& fleet, std::size_t servers)
{
    const core::service_config config = storedService(fleet);
    return config.epochs.size() == 1 && config.epochs.front().phase == core::epoch_phase::Active
        && config.epochs.front().servers.size() == servers;
}

} // namespace

// Only the host that holds the lease may plan, and only while it reaches the store. An epoch must not become
// active before every host has applied it.
Test(planning, only_lease_holder_plans_and_only_with_store)
{
    control_fleet fleet = startFleet(9, 4);
    writeService(fleet, 6);
    const auto checkPlanning = [&] {
        for (std::size_t i = 0; i < 9; ++i)
            cr_assert(i == 4 || fleet.hosts[i].last.writes.empty());
        for (const control_fleet::host& host : fleet.hosts)
            for (const core::epoch_plan& epoch : storedService(fleet).epochs)
                if (epoch.phase == core::epoch_phase::Active && !host.snapshot->services.empty())
                    cr_assert(std::any_of(host.snapshot->services.front()->epochs.begin(),
                                  host.snapshot->services.front()->epochs.end(),
                                  [&](const core::epoch_plan& known) { return known.number == epoch.number; })
                        || storedService(fleet).epochs.size() == 1);
        reportCompleteScans(fleet);
    };
    fleet.run(seconds { 4 }, checkPlanning);
    cr_assert(hasOneActiveEpoch(fleet, 6));
    writeService(fleet, 7);
    fleet.run(seconds { 10 }, checkPlanning);
    cr_assert(hasOneActiveEpoch(fleet, 7));

    writeService(fleet, 5);
    const std::size_t before = fleet.store[key].modified.value;
    fleet.isStoreUp = false;
    fleet.run(seconds { 6 });
    fleet.run(seconds { 10 }, [&] { cr_assert(fleet.hosts[4].last.writes.empty()); });
    cr_assert(fleet.store[key].modified.value == before);
    fleet.isStoreUp = true;
    fleet.run(seconds { 10 }, checkPlanning);
    cr_assert(hasOneActiveEpoch(fleet, 5));
}

// If the store refuses a write or its result is lost, the planner must plan again from the current value. The
// plan must neither get stuck nor be carried out twice.
Test(planning, write_is_retried_from_current_value)
{
    struct write_outcome {
        const char* name;
        bool isWritten;
        std::optional<bool> result;
    };
    for (const write_outcome& firstOutcome : { write_outcome { "lost, in effect", true, std::nullopt },
             { "lost, not in effect", false, std::nullopt }, { "refused", false, false } }) {
        control_fleet fleet = startFleet(3, 0);
        int writes = 0;
        fleet.onWrite = [&](const core::store_write&, bool isCurrent) {
            writes += 1;
            const bool isFirstAttempt = writes % 2 == 1;
            return isFirstAttempt ? std::pair { isCurrent && firstOutcome.isWritten, firstOutcome.result }
                                  : std::pair { isCurrent, std::optional(isCurrent) };
        };
        writeService(fleet, 6);
        fleet.run(seconds { 5 }, [&] { reportCompleteScans(fleet); });
        writeService(fleet, 5);
        fleet.run(seconds { 15 }, [&] { reportCompleteScans(fleet); });
        cr_assert(hasOneActiveEpoch(fleet, 5), "%s", firstOutcome.name);
        cr_assert(
            storedService(fleet).epochs.front().number == core::epoch_number { 2 }, "%s", firstOutcome.name);
        // Two writes for the first epoch (prepare, activate) and three for the change (prepare, activate,
        // retire), each attempted twice.
        cr_assert(writes <= 10, "%s: %d writes", firstOutcome.name, writes);
    }
}

// While a write to a key is pending, the planner must not write to that key again. Here neither the result of
// the write nor the new value arrives.
Test(planning, one_pending_write_per_key)
{
    control_fleet source(1);
    writeService(source, 6);
    core::control_engine_options options;
    options.self.peerAddress = control_fleet::addressOf(0);
    options.self.dataCentre = "dc-0";
    core::control_engine engine = std::move(*core::control_engine::create(options));
    engine.handleStoreEntries({ source.store[key] }, source.revision, {});
    std::size_t writes = 0;
    for (core::timestamp now; now < core::timestamp { seconds { 12 } }; now = now + milliseconds { 100 }) {
        engine.handleLease(true, now);
        writes += engine.advance(now).writes.size();
    }
    cr_assert(writes == 1, "%zu writes", writes);
}

// A host whose lease expired while it was paused must not plan with it afterwards. The number of candidates
// for the lease must not grow with the fleet.
Test(planning, lease_expires_while_holder_is_paused)
{
    control_fleet fleet = startFleet(9, 0);
    std::size_t candidates = 0;
    fleet.run(seconds { 1 });
    for (const control_fleet::host& host : fleet.hosts)
        candidates += host.last.shouldHoldPlannerLease ? 1 : 0;
    cr_assert(candidates >= 3 && candidates <= 4);
    fleet.hosts[0].isPaused = true;
    writeService(fleet, 6);
    fleet.run(seconds { 6 });
    fleet.hosts[0].holdsLease = false;
    fleet.hosts[0].isPaused = false;
    fleet.run(seconds { 5 }, [&] { cr_assert(fleet.hosts[0].last.writes.empty()); });
    fleet.hosts[3].holdsLease = true;
    fleet.run(seconds { 5 });
    cr_assert(hasOneActiveEpoch(fleet, 6));
}
