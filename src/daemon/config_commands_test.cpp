#include "config_commands.hpp"

#include <deque>
#include <map>

#include <criterion/criterion.h>

namespace core = shallotcove::core;
namespace store = shallotcove::store;
namespace rpc = shallotcove::rpc;
namespace daemon_ns = shallotcove::daemon;

namespace {

/// An in-memory store with a replica that may lag behind and with injected faults.
struct fake_store {
    std::map<std::string, core::store_entry> stored;
    std::map<std::string, core::store_entry> replica;
    std::uint64_t revision { 10 };
    bool isReadable { true };
    /// Functions to run before the next swaps, one per swap.
    std::deque<std::function<void()>> beforeSwap;
    std::optional<store::store_error> swapError;
    /// Whether a swap that fails with swapError is written nevertheless.
    bool doesLostSwapWrite {};
    std::vector<std::string> laggingHosts;
    int swaps {};

    static daemon_ns::entry_result lookUp(
        const std::map<std::string, core::store_entry>& entries, const std::string& key)
    {
        const auto found = entries.find(key);
        if (found == entries.end())
            return std::optional<core::store_entry> {};
        return std::optional<core::store_entry> { found->second };
    }

    daemon_ns::entry_result readReplica(const std::string& key) { return lookUp(replica, key); }

    daemon_ns::entry_result read(const std::string& key)
    {
        if (!isReadable)
            return tl::unexpected(store::store_error::AnswerLost);
        return lookUp(stored, key);
    }

    std::optional<std::vector<std::string>> hostsBehind(core::config_index) { return laggingHosts; }

    void put(const std::string& key, const std::string& value)
    {
        stored[key] = { key, { ++revision }, false, value };
    }

    void synchronize() { replica = stored; }

    tl::expected<store::swap_result, store::store_error> swap(std::vector<store::key_swap> list)
    {
        ++swaps;
        if (!beforeSwap.empty()) {
            beforeSwap.front()();
            beforeSwap.pop_front();
        }
        if (swapError && !doesLostSwapWrite)
            return tl::unexpected(*swapError);
        for (const store::key_swap& entry : list) {
            const auto found = stored.find(entry.key);
            const core::config_index now
                = found == stored.end() ? core::config_index {} : found->second.modified;
            if (now != entry.expected)
                return store::swap_result { false, { revision } };
        }
        ++revision;
        for (const store::key_swap& entry : list)
            stored[entry.key] = { entry.key, { revision }, false, *entry.value };
        if (swapError)
            return tl::unexpected(*swapError);
        return store::swap_result { true, { revision } };
    }
};

using commands = daemon_ns::config_commands<fake_store>;

core::socket_address address(const char* text) { return *core::socket_address::parse(text); }

core::new_service newService(const char* name, const char* at)
{
    return { name, address(at), core::transport::Tcp, {} };
}

core::operation_context operationBy(const char* author, const char* id)
{
    return { id, author, std::nullopt };
}

commands::service_apply addServerAt(const char* at, const core::operation_context& context)
{
    return [=](const core::service_config& current) {
        return core::addServer(current, { "buc-a", address(at) }, context);
    };
}

core::service_config storedService(const fake_store& store, const char* name)
{
    return *core::parseServiceConfig(store.stored.at(core::serviceKey(name)).value);
}

fake_store storeWithService()
{
    fake_store store;
    const bool isCreated = commands(store)
                               .createService(newService("mostre", "192.0.2.1:80"), operationBy("ana", "1"))
                               .has_value();
    cr_assert(isCreated);
    store.synchronize();
    return store;
}

// The planner writes epochs without advancing the revision.
void planEpoch(fake_store& store)
{
    core::service_config service = storedService(store, "mostre");
    const std::uint64_t number = service.epochs.size() + 1;
    service.epochs.push_back({ { number }, core::epoch_phase::Active, { { { 1 }, 100 } } });
    store.put(core::serviceKey("mostre"), core::formatServiceConfig(service));
}

void addServerDirectly(fake_store& store, const char* author, const char* id, const char* at)
{
    const core::operation_context context = operationBy(author, id);
    const core::service_result result
        = core::addServer(storedService(store, "mostre"), { "buc-a", address(at) }, context);
    cr_assert(result.has_value());
    store.put(core::serviceKey("mostre"), core::formatServiceConfig(result->config));
}

} // namespace

// A service must be created together with its address reservation and with an id that no other service has,
// even if the replica from which the next id is first read is stale.
Test(config_commands, create_reserves_address_and_id)
{
    fake_store store = storeWithService();
    cr_assert(store.swaps == 1);
    const std::string key = core::addressKey(address("192.0.2.1:80"), core::transport::Tcp);
    cr_assert(core::parseAddressReservation(store.stored.at(key).value)->serviceName == "mostre");
    // The replica is not synchronized between the next two calls, so for the third service it still has the
    // old next id.
    commands configCommands(store);
    cr_assert(configCommands.createService(newService("rezervari", "192.0.2.2:80"), operationBy("ana", "2"))
                  .has_value());
    const daemon_ns::accepted_service third
        = configCommands.createService(newService("third", "192.0.2.3:80"), operationBy("ana", "3"));
    cr_assert(third.has_value());
    cr_assert(storedService(store, "mostre").id.value == 1);
    cr_assert(storedService(store, "rezervari").id.value == 2 && third->config.id.value == 3);
}

// Two services must not get the same address. The address and the name of a removed service must not be
// reused before every host has applied the removal.
Test(config_commands, address_stays_reserved_until_applied)
{
    fake_store store = storeWithService();
    commands configCommands(store);
    const daemon_ns::accepted_service taken
        = configCommands.createService(newService("other", "192.0.2.1:80"), operationBy("ion", "2"));
    cr_assert(!taken && taken.error().error == rpc::operator_error::AddressInUse);
    cr_assert(taken.error().message.find("mostre") != std::string::npos);
    cr_assert(configCommands.removeService("mostre", operationBy("ana", "3")).has_value());
    store.synchronize();
    store.laggingHosts = { "127.0.1.9:7946" };
    const daemon_ns::accepted_service early
        = configCommands.createService(newService("other", "192.0.2.1:80"), operationBy("ion", "4"));
    cr_assert(!early && early.error().error == rpc::operator_error::AddressInUse);
    cr_assert(early.error().message.find("127.0.1.9:7946") != std::string::npos);
    const daemon_ns::accepted_service sameName
        = configCommands.createService(newService("mostre", "192.0.2.7:80"), operationBy("ion", "5"));
    cr_assert(!sameName && sameName.error().error == rpc::operator_error::AlreadyExists);
    store.laggingHosts.clear();
    cr_assert(configCommands.createService(newService("other", "192.0.2.1:80"), operationBy("ion", "6"))
                  .has_value());
    cr_assert(configCommands.createService(newService("mostre", "192.0.2.7:80"), operationBy("ion", "7"))
                  .has_value());
    cr_assert(storedService(store, "mostre").id.value == 3);
}

// The planner also writes the values of services. A conflict that only a planner write causes must be retried
// and not be reported to the operator.
Test(config_commands, retries_conflicts_with_the_planner)
{
    fake_store store = storeWithService();
    addServerDirectly(store, "ana", "2", "10.0.0.1:6080");
    store.synchronize();
    planEpoch(store);
    store.beforeSwap = { [&] {}, [&] { planEpoch(store); } };
    const core::operation_context context = operationBy("ion", "3");
    const daemon_ns::accepted_service accepted
        = commands(store).changeService("mostre", context, addServerAt("10.0.0.2:6080", context));
    cr_assert(accepted.has_value());
    const core::service_config service = storedService(store, "mostre");
    cr_assert(service.servers.size() == 2 && service.epochs.size() == 2 && store.swaps == 4);
}

// A change that another operator made between the read and the swap must not be overwritten, and the conflict
// must name its author and the change.
Test(config_commands, reports_conflicts_with_another_operator)
{
    fake_store store = storeWithService();
    store.beforeSwap = { [&] { addServerDirectly(store, "maria", "9", "10.0.0.9:6080"); } };
    const core::operation_context context = operationBy("ion", "3");
    const daemon_ns::accepted_service refused
        = commands(store).changeService("mostre", context, addServerAt("10.0.0.2:6080", context));
    cr_assert(!refused && refused.error().error == rpc::operator_error::Conflict);
    cr_assert(refused.error().message.find("maria: server add 10.0.0.9:6080") != std::string::npos);
    cr_assert(storedService(store, "mostre").servers.size() == 1);
}

// Changes of one author in quick succession must not conflict with each other because the replica lags behind
// the store.
Test(config_commands, accepts_successive_changes_of_one_author)
{
    fake_store store = storeWithService();
    for (const char* const at : { "10.0.0.1:6080", "10.0.0.2:6080", "10.0.0.3:6080" }) {
        const core::operation_context context = operationBy("ana", at);
        cr_assert(commands(store).changeService("mostre", context, addServerAt(at, context)).has_value());
    }
    cr_assert(storedService(store, "mostre").servers.size() == 3);
}

// After a write whose answer was lost, the outcome must be reported as unknown. Repeating the operation must
// not apply it twice, and must tell whether the first attempt was written.
Test(config_commands, lost_answer_is_unknown_until_repeated)
{
    for (const bool isWritten : { true, false }) {
        fake_store store = storeWithService();
        store.swapError = store::store_error::AnswerLost;
        store.doesLostSwapWrite = isWritten;
        const core::operation_context context = operationBy("ion", "3");
        commands configCommands(store);
        const daemon_ns::accepted_service lost
            = configCommands.changeService("mostre", context, addServerAt("10.0.0.2:6080", context));
        cr_assert(!lost && lost.error().error == rpc::operator_error::OutcomeUnknown);
        store.swapError.reset();
        const daemon_ns::accepted_service repeated
            = configCommands.changeService("mostre", context, addServerAt("10.0.0.2:6080", context));
        cr_assert(repeated.has_value() && repeated->isRepeat == isWritten && repeated->revision == 2);
        cr_assert(storedService(store, "mostre").servers.size() == 1);
    }
}

// A refusal that follows from a stale replica must be checked against the store. If the store cannot be read
// or written, the call must fail with StoreUnavailable.
Test(config_commands, checks_the_store_before_refusing)
{
    fake_store store = storeWithService();
    store.replica.clear();
    const core::operation_context context = operationBy("ion", "3");
    commands configCommands(store);
    cr_assert(
        configCommands.changeService("mostre", context, addServerAt("10.0.0.2:6080", context)).has_value());
    const daemon_ns::accepted_service missing
        = configCommands.changeService("absent", context, addServerAt("10.0.0.2:6080", context));
    cr_assert(!missing && missing.error().error == rpc::operator_error::NotFound);
    store.isReadable = false;
    const daemon_ns::accepted_service unsure
        = configCommands.changeService("absent", context, addServerAt("10.0.0.2:6080", context));
    cr_assert(!unsure && unsure.error().error == rpc::operator_error::StoreUnavailable);
    store.synchronize();
    store.swapError = store::store_error::Unavailable;
    const core::operation_context next = operationBy("ion", "4");
    const daemon_ns::accepted_service unsent
        = configCommands.changeService("mostre", next, addServerAt("10.0.0.3:6080", next));
    cr_assert(!unsent && unsent.error().error == rpc::operator_error::StoreUnavailable);
}

// Values in the store that cannot be parsed, such as those written by other programs, must not be overwritten
// and must not end the process.
Test(config_commands, does_not_overwrite_invalid_values)
{
    fake_store store = storeWithService();
    store.put(core::serviceKey("mostre"), "{");
    store.put(daemon_ns::nextServiceIdKey, "many");
    store.synchronize();
    const core::operation_context context = operationBy("ion", "3");
    commands configCommands(store);
    const daemon_ns::accepted_service changed
        = configCommands.changeService("mostre", context, addServerAt("10.0.0.2:6080", context));
    cr_assert(!changed && changed.error().message.find("services/mostre is not valid") != std::string::npos);
    const daemon_ns::accepted_service created
        = configCommands.createService(newService("other", "192.0.2.9:80"), context);
    cr_assert(!created && created.error().message.find("next-service-id is not valid") != std::string::npos);
    cr_assert(store.swaps == 1, "only the creation in the set-up wrote to the store");
}

// Taking a data centre out must succeed again when the operation is repeated, and must be reversible.
Test(config_commands, data_centre_out_is_repeatable_and_reversible)
{
    fake_store store;
    commands configCommands(store);
    cr_assert(configCommands.setDataCentre("buc-a", core::data_centre_state::Out, operationBy("ana", "1"))
                  .has_value());
    const daemon_ns::accepted_data_centre repeat
        = configCommands.setDataCentre("buc-a", core::data_centre_state::Out, operationBy("ana", "1"));
    cr_assert(repeat.has_value() && repeat->isRepeat);
    const daemon_ns::accepted_data_centre back
        = configCommands.setDataCentre("buc-a", core::data_centre_state::In, operationBy("ana", "2"));
    cr_assert(back.has_value() && back->revision == 2);
}
