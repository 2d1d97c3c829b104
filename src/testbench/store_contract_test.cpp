#include <utility>

#include <array>
#include <optional>

#include <criterion/criterion.h>

#include <shallotcove/store/host_list_client.hpp>
#include <shallotcove/store/key_value_client.hpp>

#include "event_loop.hpp"
#include "host_list_standin.hpp"
#include "store_standin.hpp"

namespace core = shallotcove::core;
namespace store = shallotcove::store;
namespace testbench = shallotcove::testbench;

using store::store_error;
using testbench::store_fault;

namespace {

const core::socket_address anyPort = *core::socket_address::parse("127.0.0.1:0");

/// Store client and stand-in on one io_context.
struct fixture {
    boost::asio::io_context context;
    std::unique_ptr<testbench::store_standin> store
        = std::move(*testbench::store_standin::create(context, { anyPort, anyPort }));
    std::unique_ptr<store::key_value_client> client = store::key_value_client::create(context,
        { store->address(), std::chrono::milliseconds { 300 }, std::chrono::milliseconds { 5 },
            std::chrono::milliseconds { 20 } });

    /// Starts a call and runs the context until its result arrives.
    template <typename Result, typename Call> tl::expected<Result, store_error> await(Call call)
    {
        std::optional<tl::expected<Result, store_error>> result;
        call([&result](const tl::expected<Result, store_error>& response) { result = response; });
        cr_assert(testbench::runUntil(context, [&result] { return result.has_value(); }), "no answer");
        return *result;
    }

    tl::expected<store::swap_result, store_error> swap(const std::string& key, std::uint64_t expected,
        std::optional<std::string> value, std::int64_t lease = 0)
    {
        return await<store::swap_result>([&](auto handler) {
            client->compareAndSwap({ { key, { expected }, std::move(value) } }, lease, handler);
        });
    }

    tl::expected<store::store_range, store_error> read(const std::string& prefix)
    {
        return await<store::store_range>([&](auto handler) { client->readRange(prefix, handler); });
    }
};

/// Records what a watch delivered.
struct watch_record {
    std::vector<core::store_entry> entries;
    core::config_index revision;
    std::optional<store_error> error;

    auto handler()
    {
        return [this](const tl::expected<store::store_range, store_error>& update) {
            if (!update) {
                error = update.error();
                return;
            }
            entries.insert(entries.end(), update->entries.begin(), update->entries.end());
            revision = update->revision;
        };
    }
};

} // namespace

// Guards against lost updates when operators write the same key concurrently.
Test(store_contract, swap_needs_the_expected_revision)
{
    fixture test;
    const auto created = test.swap("services/a", 0, "one");
    cr_assert(created && created->wasWritten);
    const auto conflict = test.swap("services/a", 0, "two");
    cr_assert(conflict && !conflict->wasWritten);
    const std::string binary("\0\xff{\"", 4);
    const auto replaced = test.swap("services/a", created->revision.value, binary);
    cr_assert(replaced && replaced->wasWritten && replaced->revision > created->revision);
    cr_assert(test.swap("services0", 0, "outside")->wasWritten);
    const auto range = test.read("services/");
    cr_assert(range
        && range->entries
            == (std::vector<core::store_entry> { { "services/a", replaced->revision, false, binary } }));
    cr_assert(test.read("")->entries.size() == 2);
    cr_assert(test.swap("services/a", replaced->revision.value, std::nullopt)->wasWritten);
    cr_assert(test.read("services/")->entries.empty());
    cr_assert(test.client->requestCount() == test.store->callCount());
}

// Guards against a write whose outcome is known only to the store being reported as failed or as done.
Test(store_contract, distinguishes_unsent_from_lost_requests)
{
    struct fault_case {
        store_fault fault;
        store_error error;
        bool takesEffect;
    };
    const std::array<fault_case, 7> cases { {
        { store_fault::Down, store_error::Unavailable, false },
        { store_fault::LoseResponses, store_error::AnswerLost, true },
        { store_fault::TruncateResponses, store_error::AnswerLost, true },
        { store_fault::Slow, store_error::AnswerLost, true },
        { store_fault::InvalidHttp, store_error::ProtocolError, true },
        { store_fault::InvalidJson, store_error::ProtocolError, true },
        { store_fault::NoLeader, store_error::AnswerLost, false },
    } };
    for (const fault_case& testCase : cases) {
        fixture test;
        test.store->setFault(testCase.fault, std::chrono::milliseconds { 400 });
        const auto result = test.swap("services/a", 0, "one");
        cr_assert(!result && result.error() == testCase.error, "fault %d", static_cast<int>(testCase.fault));
        const std::int64_t revision = testCase.takesEffect ? 2 : 1;
        cr_assert(testbench::runUntil(test.context, [&] { return test.store->revision() == revision; }),
            "fault %d", static_cast<int>(testCase.fault));
        test.store->setFault(store_fault::None);
        // After the fault ends, the conflict of the retry shows that the first write took effect.
        cr_assert(test.swap("services/a", 0, "one")->wasWritten != testCase.takesEffect);
        cr_assert(test.read("services/")->entries.size() == 1);
    }
}

// Guards against calls that hang: a slow store responds within the timeout, or the call ends.
Test(store_contract, waits_for_a_slow_response)
{
    fixture test;
    test.store->setFault(store_fault::Slow, std::chrono::milliseconds { 50 });
    cr_assert(test.swap("services/a", 0, "one")->wasWritten);
}

// Guards against configuration changes being missed or applied twice when a watch is disconnected.
Test(store_contract, watch_resumes_without_loss)
{
    fixture test;
    watch_record record;
    cr_assert(test.swap("services/0", 0, "v")->wasWritten);
    test.client->watch("services/", { 1 }, record.handler());
    std::vector<std::string> keys { "services/0" };
    const std::array<void (*)(testbench::store_standin&), 4> cuts { {
        [](testbench::store_standin& store) { store.closeWatches(); },
        [](testbench::store_standin& store) {
            store.setFault(store_fault::Down);
            store.setFault(store_fault::None);
        },
        [](testbench::store_standin& store) {
            store.closeWatches();
            store.setFault(store_fault::NoLeader);
            store.setFault(store_fault::None);
        },
        [](testbench::store_standin&) {},
    } };
    for (std::size_t round = 1; round < 40; ++round) {
        cuts[round % cuts.size()](*test.store);
        keys.push_back("services/" + std::to_string(round));
        cr_assert(test.swap(keys.back(), 0, "v")->wasWritten);
        cr_assert(test.swap("planner/" + std::to_string(round), 0, "v")->wasWritten);
    }
    cr_assert(testbench::runUntil(test.context, [&] { return record.entries.size() >= keys.size(); }));
    cr_assert(record.entries.size() == keys.size());
    for (std::size_t index = 0; index < keys.size(); ++index)
        cr_assert(record.entries[index].key == keys[index]);
    cr_assert(!record.error);
    test.client->stopWatch();
    cr_assert(testbench::runUntil(test.context, [&] { return test.store->watchCount() == 0; }));
}

// Guards against a watch that never recovers because its back-off grows or it accepts invalid responses.
Test(store_contract, watch_survives_an_outage)
{
    for (const store_fault fault : { store_fault::Down, store_fault::InvalidHttp, store_fault::InvalidJson,
             store_fault::NoLeader, store_fault::Slow }) {
        fixture test;
        watch_record record;
        test.store->setFault(fault, std::chrono::milliseconds { 400 });
        test.client->watch("", { 1 }, record.handler());
        const std::uint64_t calls = test.client->requestCount();
        cr_assert(fault == store_fault::Down
                || testbench::runUntil(
                    test.context, [&] { return test.client->requestCount() >= calls + 3; }),
            "fault %d", static_cast<int>(fault));
        test.store->setFault(store_fault::None);
        cr_assert(test.swap("services/a", 0, "one")->wasWritten);
        cr_assert(testbench::runUntil(test.context, [&] { return record.entries.size() == 1; }), "fault %d",
            static_cast<int>(fault));
        cr_assert(!record.error);
    }
}

// Guards against a host that continues with a gap in its configuration history.
Test(store_contract, compaction_ends_the_watch)
{
    fixture test;
    for (std::uint64_t revision = 0; revision < 4; ++revision)
        cr_assert(test.swap("services/" + std::to_string(revision), 0, "v")->wasWritten);
    cr_assert(test.store->compact(4));
    watch_record record;
    test.client->watch("services/", { 2 }, record.handler());
    cr_assert(testbench::runUntil(test.context, [&] { return record.error.has_value(); }));
    cr_assert(*record.error == store_error::Compacted && record.entries.empty());
    record.error.reset();
    test.client->watch("services/", { 4 }, record.handler());
    cr_assert(testbench::runUntil(test.context, [&] { return record.entries.size() == 2; }));
}

// Guards against two active planners: a lease that expired while its holder was paused must not keep its key.
Test(store_contract, lease_expires_while_the_holder_is_paused)
{
    fixture test;
    const auto lease = test.await<std::int64_t>(
        [&](auto handler) { test.client->grantLease(std::chrono::seconds { 5 }, handler); });
    cr_assert(lease && test.swap("planner", 0, "first", *lease)->wasWritten);
    const auto keepAlive = [&] {
        return test.await<std::chrono::seconds>(
            [&](auto handler) { test.client->keepLeaseAlive(*lease, handler); });
    };
    test.store->advanceClock(std::chrono::milliseconds { 4000 });
    cr_assert(keepAlive() == std::chrono::seconds { 5 });
    test.store->advanceClock(std::chrono::milliseconds { 4000 });
    cr_assert(test.read("planner")->entries.size() == 1);
    watch_record record;
    test.client->watch("planner", { test.read("planner")->revision.value + 1 }, record.handler());
    test.store->advanceClock(std::chrono::milliseconds { 6000 });
    cr_assert(test.read("planner")->entries.empty());
    cr_assert(testbench::runUntil(test.context, [&] { return record.entries.size() == 1; }));
    cr_assert(record.entries[0].isDeleted);
    cr_assert(keepAlive().error() == store_error::LeaseNotFound);
    cr_assert(test.swap("planner", 0, "late", *lease).error() == store_error::LeaseNotFound);
    const auto revoke = [&](std::int64_t id) {
        return test.await<std::monostate>([&](auto handler) { test.client->revokeLease(id, handler); });
    };
    cr_assert(revoke(*lease).error() == store_error::LeaseNotFound);
    const auto second = test.await<std::int64_t>(
        [&](auto handler) { test.client->grantLease(std::chrono::seconds { 5 }, handler); });
    cr_assert(test.swap("planner", 0, "second", *second)->wasWritten);
    cr_assert(revoke(*second).has_value());
    cr_assert(test.read("planner")->entries.empty());
}

// Guards against handlers that are called after the client has been destroyed.
Test(store_contract, destroyed_client_calls_no_handler)
{
    fixture test;
    bool isCalled = false;
    test.client->readRange("", [&](const auto&) { isCalled = true; });
    test.client->watch("", { 1 }, [&](const auto&) { isCalled = true; });
    cr_assert(testbench::runUntil(test.context, [&] { return test.store->callCount() == 2; }));
    test.client.reset();
    cr_assert(testbench::runUntil(test.context, [&] { return test.store->watchCount() == 0; }));
    cr_assert(!isCalled);
}

// Guards against an invalid host list being read as hosts that have left.
Test(host_list_contract, accepts_valid_and_rejects_invalid_lists)
{
    using store::host_list_error;
    struct list_case {
        const char* json;
        std::optional<std::vector<core::listed_host>> hosts;
    };
    const core::socket_address address = *core::socket_address::parse("127.0.1.1:7946");
    const std::array<list_case, 7> cases { {
        { "[]", std::vector<core::listed_host> {} },
        { R"([{"peerAddress":"127.0.1.1:7946","dataCentre":"buc-a","state":"live"},)"
          R"({"peerAddress":"127.0.1.1:7946","dataCentre":"buc-b","state":"leaving"}])",
            std::vector<core::listed_host> { { address, "buc-a", false }, { address, "buc-b", true } } },
        { "{}", std::nullopt },
        { "", std::nullopt },
        { R"([{"peerAddress":"127.0.1.1","dataCentre":"buc-a","state":"live"}])", std::nullopt },
        { R"([{"peerAddress":"127.0.1.1:1","dataCentre":"buc-a","state":"gone"}])", std::nullopt },
        { R"([{"peerAddress":"127.0.1.1:1","state":"live"}])", std::nullopt },
    } };
    boost::asio::io_context context;
    std::unique_ptr<testbench::host_list_standin> list
        = std::move(*testbench::host_list_standin::create(context, anyPort));
    const std::unique_ptr<store::host_list_client> client
        = store::host_list_client::create(context, { list->address(), std::chrono::milliseconds { 300 } });
    const auto read = [&] {
        std::optional<tl::expected<std::vector<core::listed_host>, host_list_error>> result;
        client->read([&](const auto& response) { result = response; });
        cr_assert(testbench::runUntil(context, [&] { return result.has_value(); }));
        return *result;
    };
    for (const list_case& testCase : cases) {
        list->setHosts(testCase.json);
        const auto result = read();
        cr_assert(result.has_value() == testCase.hosts.has_value(), "%s", testCase.json);
        cr_assert(result ? *result == *testCase.hosts : result.error() == host_list_error::ProtocolError);
    }
    list.reset();
    cr_assert(read().error() == host_list_error::Unavailable);
}
