#include <criterion/criterion.h>

#include <shallotcove/core/config_json.hpp>

#include "config_exchange.hpp"
#include "config_replica.hpp"
#include "control_fleet.hpp"

namespace core = shallotcove::core;
using core::control_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

double toSeconds(core::duration length) { return std::chrono::duration<double>(length).count(); }

control_fleet startFleet(std::size_t count)
{
    control_fleet fleet(count);
    for (std::size_t i = 0; i < count; ++i)
        fleet.start(i, { control_fleet::addressOf(0) });
    cr_assert(
        fleet.runUntil([&] { return fleet.isConverged() && fleet.haveAllApplied({ 1 }); }, seconds { 20 }));
    fleet.run(seconds { 5 });
    return fleet;
}

std::size_t watcherCount(const control_fleet& fleet)
{
    std::size_t count = 0;
    for (const control_fleet::host& host : fleet.hosts)
        count += host.engine && host.last.shouldWatchStore ? 1 : 0;
    return count;
}

} // namespace

// Guards against changes that take longer than the stated 1 s to reach all hosts, and against a number of
// store watches that grows with the fleet.
Test(config_spread, reaches_all_hosts_within_1_s)
{
    struct network {
        std::size_t hosts;
        double loss;
        std::size_t valueBytes;
        core::duration limit;
    };
    for (const network& one : { network { 9, 0, 4000, seconds { 1 } }, { 27, 0, 4000, seconds { 1 } },
             { 81, 0, 4000, seconds { 1 } }, { 9, 0.3, 4000, seconds { 5 } },
             { 9, 0.3, 60'000, seconds { 5 } }, { 9, 0, 1'000'000, seconds { 5 } } }) {
        control_fleet fleet = startFleet(one.hosts);
        cr_assert(watcherCount(fleet) == 6);
        fleet.loss = one.loss;
        core::duration slowest {};
        for (int change = 0; change < 5; ++change) {
            const core::config_index index = fleet.write("settings/a", std::string(one.valueBytes, 'x'));
            const std::optional<core::duration> took
                = fleet.runUntil([&] { return fleet.haveAllApplied(index); }, seconds { 20 });
            cr_assert(took.has_value());
            slowest = std::max(slowest, *took);
            for (const control_fleet::host& host : fleet.hosts)
                cr_assert(host.engine->entry("settings/a") == fleet.store["settings/a"]);
            fleet.run(milliseconds { 730 });
        }
        cr_log_info("%zu hosts, %.0f%% loss, %zu bytes: slowest of 5 changes %.2f s", one.hosts,
            one.loss * 100, one.valueBytes, toSeconds(slowest));
        cr_assert(slowest < one.limit);
        cr_assert(fleet.largestMessage <= core::maximumPeerMessageBytes);
    }
}

// Guards against a new host that cannot get the configuration from its peers while the store is down, and
// against one that is synchronized before it has all of it.
Test(config_spread, new_host_gets_configuration_without_store)
{
    control_fleet fleet = startFleet(9);
    fleet.stop(8);
    core::config_index index;
    for (int key = 0; key < 200; ++key)
        index = fleet.write("settings/" + std::to_string(key), std::string(2000, 'x'));
    index = fleet.write("settings/7", {}, true);
    fleet.run(seconds { 5 });
    fleet.isStoreUp = false;
    fleet.loss = 0.1;
    fleet.start(8, { control_fleet::addressOf(0) });
    const auto isReady = [&] { return fleet.hosts[8].snapshot->sync == core::sync_state::Synchronized; };
    fleet.run(milliseconds { 10 });
    cr_assert(fleet.runUntil(isReady, seconds { 10 }).has_value());
    cr_assert(fleet.hosts[8].engine->appliedIndex() >= index);
    cr_assert(fleet.hosts[8].engine->entries() == fleet.hosts[0].engine->entries());
    cr_assert(fleet.hosts[8].engine->entries().size() == 199);
}

// Guards against a deleted key that returns with an old value because a push arrived late or came from a host
// that was cut off.
Test(config_spread, late_push_does_not_revert_value)
{
    core::config_replica ahead;
    ahead.apply({ "settings/a", { 5 }, false, "old" });
    ahead.apply({ "settings/b", { 6 }, false, "kept" });
    ahead.markAppliedUpTo({ 6 });
    core::config_exchange source(1);
    const std::vector<core::config_push> late = source.answer({ 2 }, ahead, { 0 });

    core::config_replica replica;
    replica.apply({ "settings/a", { 9 }, true, "" });
    replica.markAppliedUpTo({ 9 });
    core::config_exchange exchange(2);
    for (const core::config_push& push : late)
        exchange.handlePush({ 1 }, push, replica, {});
    cr_assert(replica.appliedIndex() == core::config_index { 9 });
    cr_assert(replica.find("settings/a")->isDeleted);
    replica.markAppliedUpTo({ 3 });
    cr_assert(replica.appliedIndex() == core::config_index { 9 });
}

// Guards against adopting the index of an incomplete answer, also when keys of another answer fill the gaps,
// and against chunks that write outside of the value.
Test(config_spread, adopts_index_only_from_complete_answers)
{
    core::member source;
    source.id = { 7 };
    source.appliedIndex = { 30 };
    struct push_case {
        const char* name;
        std::vector<core::config_push> pushes;
        std::uint64_t applied;
    };
    const auto push = [](const char* key, std::uint64_t modified, std::uint64_t upTo, std::uint32_t number,
                          std::uint32_t count) {
        return core::config_push { key, { modified }, { upTo }, number, count, false, 0, 1, "x" };
    };
    const std::vector<push_case> cases {
        { "whole answer", { push("a", 6, 30, 0, 2), push("b", 8, 30, 1, 2) }, 30 },
        { "any order, repeated", { push("b", 8, 30, 1, 2), push("b", 8, 30, 1, 2), push("a", 6, 30, 0, 2) },
            30 },
        { "one key missing", { push("a", 6, 30, 0, 3), push("b", 8, 30, 1, 3) }, 0 },
        { "keys of two answers", { push("a", 6, 30, 0, 2), push("a", 9, 30, 1, 2) }, 0 },
        { "number out of range", { push("a", 6, 30, 2, 2), push("b", 8, 30, 1, 2) }, 0 },
        { "bytes beyond the value", { { "a", { 6 }, { 30 }, 0, 1, false, 5, 6, "xyz" } }, 0 },
        { "empty chunk", { { "a", { 6 }, { 30 }, 0, 1, false, 0, 6, "" } }, 0 },
        { "huge value", { { "a", { 6 }, { 30 }, 0, 1, false, 0, 0xffffffff, "x" } }, 0 },
        { "half a value", { { "a", { 6 }, { 30 }, 0, 1, false, 0, 1101, std::string(1100, 'x') } }, 0 },
        { "nothing changed", { { "", {}, { 30 }, 0, 0, false, 0, 0, "" } }, 30 },
        { "answer to a pull from before a restart", { { "", {}, { 30 }, 0, 0, false, 0, 0, "", { 20 } } },
            0 },
    };
    for (const push_case& one : cases) {
        core::config_replica replica;
        core::config_exchange exchange(1);
        cr_assert(exchange.advance(replica, { &source }, false, {}).has_value());
        for (const core::config_push& pushed : one.pushes)
            exchange.handlePush(source.id, pushed, replica, {});
        cr_assert(replica.appliedIndex() == core::config_index { one.applied }, "%s", one.name);
    }
}

// Guards against a deleted key that returns, or is never deleted on another host, because a host that read
// the store after the deletion has no tombstone of it (found by control_fuzz).
Test(config_spread, deleted_keys_stay_deleted)
{
    core::config_replica behind;
    behind.apply({ "settings/a", { 2 }, false, "1" });
    behind.apply({ "settings/b", { 3 }, false, "1" });
    // The reader knows only an earlier deletion of this key.
    behind.apply({ "settings/c", { 2 }, false, "1" });
    behind.markAppliedUpTo({ 3 });
    core::config_replica reader;
    reader.apply({ "settings/b", { 3 }, false, "1" });
    reader.apply({ "settings/c", { 1 }, true, "" });
    reader.markCompleteUpTo({ 5 }, { "settings/b" }, { 5 });

    // The reader never had settings/a and receives it from a host that is behind.
    core::config_exchange source(1);
    core::config_exchange exchange(2);
    for (const core::config_push& push : source.answer({ 1 }, behind, { 0 }))
        exchange.handlePush({ 2 }, push, reader, {});
    cr_assert(!reader.find("settings/a"));

    // The host that is behind pulls from the reader: first only the changes, then all keys.
    core::member ahead;
    ahead.id = { 7 };
    ahead.appliedIndex = { 5 };
    for (const std::uint64_t since : { 3, 0 }) {
        const std::optional<core::addressed_message> pull = exchange.advance(behind, { &ahead }, false, {});
        cr_assert(pull && std::get<core::config_pull>(pull->message).since.value == since);
        cr_assert(behind.appliedIndex().value == 3);
        for (const core::config_push& push : source.answer({ 1 }, reader, { since }))
            exchange.handlePush(ahead.id, push, behind, {});
    }
    cr_assert(behind.appliedIndex().value == 5);
    cr_assert(behind.find("settings/a")->isDeleted && behind.find("settings/c")->isDeleted);
    cr_assert(!behind.find("settings/b")->isDeleted);
}

// Guards against keys that stay on some hosts although they were deleted from the store while no host watched
// it: a complete read does not list deleted keys.
Test(config_spread, complete_read_deletes_missing_keys)
{
    control_fleet fleet = startFleet(3);
    fleet.write("settings/a", "1");
    fleet.write("settings/b", "2");
    fleet.run(seconds { 2 });
    fleet.store.erase("settings/a");
    fleet.isStoreUp = false;
    const core::config_index index { fleet.revision.value + 5 };
    fleet.hosts[0].engine->handleStoreContents({ fleet.store["settings/b"] }, index, fleet.now);
    cr_assert(fleet.runUntil([&] { return fleet.haveAllApplied(index); }, seconds { 2 }).has_value());
    for (const control_fleet::host& host : fleet.hosts)
        cr_assert(host.engine->entries() == std::vector { fleet.store["settings/b"] });
}

// Guards against a snapshot without a service because the new value of its key cannot be read.
Test(config_spread, keeps_last_readable_value)
{
    control_fleet fleet = startFleet(3);
    core::service_config config;
    config.id = { 1 };
    config.name = "mostre";
    config.revision = 1;
    config.address = *core::socket_address::parse("192.0.2.1:80");
    fleet.write("services/mostre", core::formatServiceConfig(config));
    fleet.run(seconds { 2 });
    cr_assert(fleet.hosts[1].snapshot->services.size() == 1);
    cr_assert(*fleet.hosts[1].snapshot->services.front() == config);
    std::vector<std::string> unreadable;
    fleet.write("services/mostre", "{");
    fleet.run(seconds { 2 }, [&] {
        for (const std::string& key : fleet.hosts[1].last.unreadableKeys)
            unreadable.push_back(key);
    });
    cr_assert(unreadable == std::vector<std::string> { "services/mostre" });
    cr_assert(fleet.hosts[1].snapshot->services.size() == 1);
    fleet.write("services/mostre", {}, true);
    fleet.run(seconds { 2 });
    cr_assert(fleet.hosts[1].snapshot->services.empty());
}

// Guards against reuse of an address while a host may still route it. Reported must be exactly the hosts that
// have not applied the change and may still be serving: also a dead or unknown host, as long as it is listed.
Test(config_spread, reports_hosts_behind)
{
    control_fleet fleet = startFleet(9);
    std::vector<core::listed_host> list = fleet.hostList();
    fleet.hosts[0].engine->handleHostList(list, fleet.now);
    fleet.isCut = [](std::size_t from, std::size_t to) { return from == 8 || to == 8; };
    const core::config_index index = fleet.write("settings/a", "1");
    fleet.run(seconds { 10 });
    cr_assert(fleet.view(0, 8)->state == core::member_state::Dead);
    cr_assert(fleet.hosts[0].engine->hostsBehind(index) == std::vector { control_fleet::addressOf(8) });
    list.pop_back();
    fleet.hosts[0].engine->handleHostList(list, fleet.now);
    cr_assert(fleet.hosts[0].engine->hostsBehind(index).empty());
    list.push_back({ *core::socket_address::parse("127.9.9.9:1"), "dc-0", false });
    fleet.hosts[0].engine->handleHostList(list, fleet.now);
    cr_assert(fleet.hosts[0].engine->hostsBehind(index) == std::vector { list.back().peerAddress });
}
