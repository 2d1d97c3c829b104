// Tests the components of the platform thread against the store stand-in, on a single thread.

#include "lease_keeper.hpp"
#include "store_watcher.hpp"

#include <criterion/criterion.h>

#include <testbench/event_loop.hpp>

#include "host_fixture.hpp"

namespace core = shallotcove::core;
namespace store = shallotcove::store;
namespace daemon_ns = shallotcove::daemon;
namespace testbench = shallotcove::testbench;
namespace testing = shallotcove::daemon::testing;

namespace {

struct store_fixture {
    boost::asio::io_context context;
    std::unique_ptr<testbench::store_standin> store { std::move(*testbench::store_standin::create(
        context, { testing::parsedAddress("127.0.0.1:0"), testing::parsedAddress("127.0.0.1:0") })) };
};

/// The platform thread's components of one host.
struct platform_components {
    std::unique_ptr<daemon_ns::event_log> log { testing::errorLog() };
    std::atomic<bool> isAvailable { true };
    daemon_ns::ring<daemon_ns::platform_report> reports { 64 };
    std::unique_ptr<store::key_value_client> client;
    daemon_ns::report_outbox outbox;
    daemon_ns::store_health health { *log, isAvailable };
    daemon_ns::lease_keeper lease;
    daemon_ns::store_watcher watcher;
    bool isHeld {};
    std::vector<daemon_ns::store_changes> changes;

    explicit platform_components(store_fixture& loop)
        : client(store::key_value_client::create(loop.context, options(loop)))
        , outbox(loop.context, reports)
        , lease(loop.context, *client, outbox, health, *log,
              { "test", std::chrono::seconds { 1 }, std::chrono::milliseconds { 20 } })
        , watcher(loop.context, *client, outbox, health, *log, std::chrono::milliseconds { 20 })
    {
    }

    static store::key_value_client_options options(const store_fixture& loop)
    {
        store::key_value_client_options result;
        result.address = loop.store->address();
        result.requestTimeout = std::chrono::milliseconds { 100 };
        return result;
    }

    void put(const std::string& key)
    {
        client->compareAndSwap(
            { { key, {}, "x" } }, 0, [](const tl::expected<store::swap_result, store::store_error>&) {});
    }

    void handleReports()
    {
        while (const std::optional<daemon_ns::platform_report> report = reports.pop()) {
            if (const auto* const held = std::get_if<daemon_ns::lease_state>(&*report))
                isHeld = held->isHeld;
            else if (const auto* const change = std::get_if<daemon_ns::store_changes>(&*report))
                changes.push_back(*change);
        }
    }

    bool hasKey(const std::string& key)
    {
        handleReports();
        for (const daemon_ns::store_changes& change : changes)
            for (const core::store_entry& entry : change.entries)
                if (entry.key == key)
                    return true;
        return false;
    }
};

} // namespace

// At most one host may hold the planner's lease. It must be taken over after a release, given up when it
// expires during a store outage, and acquired again after the outage.
Test(lease_keeper, at_most_one_holder)
{
    store_fixture loop;
    platform_components first(loop);
    platform_components second(loop);
    const auto until = [&](const std::function<bool()>& condition) {
        return testbench::runUntil(loop.context, [&] {
            first.handleReports();
            second.handleReports();
            cr_assert(!(first.isHeld && second.isHeld), "two hosts hold the lease");
            return condition();
        });
    };
    // A key that has the planner's key as a prefix must not count as a holder.
    first.put("planner-notes");
    cr_assert(until([&] { return loop.store->revision() > 1; }));
    first.lease.setWanted(true);
    cr_assert(until([&] { return first.isHeld; }));
    // The control engine measures the lease from the last report, so every renewal must be reported.
    first.isHeld = false;
    cr_assert(until([&] { return first.isHeld; }));
    second.lease.setWanted(true);
    const std::uint64_t calls = second.client->requestCount();
    cr_assert(until([&] { return second.client->requestCount() > calls + 3; }));
    cr_assert(!second.isHeld);
    first.lease.setWanted(false);
    cr_assert(until([&] { return second.isHeld && !first.isHeld; }));
    loop.store->setFault(testbench::store_fault::Down);
    cr_assert(until([&] { return !second.isHeld; }));
    loop.store->setFault(testbench::store_fault::None);
    cr_assert(until([&] { return second.isHeld; }));
}

// No change may be missed when the store is down as the watch starts, when the watch connection is cut, or
// when the revisions after its start were compacted.
Test(store_watcher, misses_no_change)
{
    store_fixture loop;
    platform_components side(loop);
    loop.store->setFault(testbench::store_fault::Down);
    side.watcher.start({});
    cr_assert(testbench::runUntil(loop.context, [&] { return !side.isAvailable.load(); }));
    loop.store->setFault(testbench::store_fault::None);
    side.put("services/a");
    cr_assert(testbench::runUntil(loop.context, [&] { return side.hasKey("services/a"); }));
    cr_assert(side.isAvailable.load() && side.changes.front().isComplete);
    loop.store->closeWatches();
    side.put("services/b");
    cr_assert(testbench::runUntil(loop.context, [&] { return side.hasKey("services/b"); }));
    side.watcher.stop();
    side.put("services/c");
    cr_assert(testbench::runUntil(loop.context, [&] { return loop.store->revision() == 4; }));
    cr_assert(loop.store->compact(4));
    side.changes.clear();
    side.watcher.start({ 2 });
    cr_assert(testbench::runUntil(loop.context, [&] { return side.hasKey("services/c"); }));
    cr_assert(side.changes.front().isComplete, "the watcher reads all keys if revisions were compacted");
}
