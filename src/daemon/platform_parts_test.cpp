// Tests of the parts of the platform thread with the store stand-in, all in one thread.

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

struct store_and_loop {
    boost::asio::io_context context;
    std::unique_ptr<testbench::store_standin> store { std::move(*testbench::store_standin::create(
        context, { testing::parsedAddress("127.0.0.1:0"), testing::parsedAddress("127.0.0.1:0") })) };
};

/// What one host's platform thread has.
struct platform_side {
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

    explicit platform_side(store_and_loop& loop)
        : client(store::key_value_client::create(loop.context, options(loop)))
        , outbox(loop.context, reports)
        , lease(loop.context, *client, outbox, health, *log,
              { "test", std::chrono::seconds { 1 }, std::chrono::milliseconds { 20 } })
        , watcher(loop.context, *client, outbox, health, *log, std::chrono::milliseconds { 20 })
    {
    }

    static store::key_value_client_options options(const store_and_loop& loop)
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

    void take()
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
        take();
        for (const daemon_ns::store_changes& change : changes)
            for (const core::store_entry& entry : change.entries)
                if (entry.key == key)
                    return true;
        return false;
    }
};

} // namespace

// Guards against two planners, none, and one that goes on after its lease has ended.
Test(lease_keeper, one_holder_at_a_time)
{
    store_and_loop loop;
    platform_side first(loop);
    platform_side second(loop);
    const auto until = [&](const std::function<bool()>& condition) {
        return testbench::runUntil(loop.context, [&] {
            first.take();
            second.take();
            cr_assert(!(first.isHeld && second.isHeld), "two holders");
            return condition();
        });
    };
    // A key that only begins like the planner's must not look like a holder.
    first.put("planner-notes");
    cr_assert(until([&] { return loop.store->revision() > 1; }));
    first.lease.setWanted(true);
    cr_assert(until([&] { return first.isHeld; }));
    // The control engine counts the lease from the last report, so every renewal has to be reported.
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

// Guards against changes that are missed while a watch starts, is cut, or finds its revisions compacted.
Test(store_watcher, misses_no_change)
{
    store_and_loop loop;
    platform_side side(loop);
    loop.store->setFault(testbench::store_fault::Down);
    side.watcher.start({});
    cr_assert(testbench::runUntil(loop.context, [&] { return !side.isAvailable.load(); }));
    loop.store->setFault(testbench::store_fault::None);
    side.put("services/a");
    cr_assert(testbench::runUntil(loop.context, [&] { return side.hasKey("services/a"); }));
    cr_assert(side.isAvailable.load() && side.changes.front().isComplete);
    loop.store->cutWatches();
    side.put("services/b");
    cr_assert(testbench::runUntil(loop.context, [&] { return side.hasKey("services/b"); }));
    side.watcher.stop();
    side.put("services/c");
    cr_assert(testbench::runUntil(loop.context, [&] { return loop.store->revision() == 4; }));
    cr_assert(loop.store->compact(4));
    side.changes.clear();
    side.watcher.start({ 2 });
    cr_assert(testbench::runUntil(loop.context, [&] { return side.hasKey("services/c"); }));
    cr_assert(side.changes.front().isComplete, "compacted revisions need a complete read");
}
