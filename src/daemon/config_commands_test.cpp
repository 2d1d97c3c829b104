#include "config_commands.hpp"

#include <deque>
#include <map>

#include <criterion/criterion.h>

namespace core = shallotcove::core;
namespace store = shallotcove::store;
namespace rpc = shallotcove::rpc;
namespace daemon_ns = shallotcove::daemon;

namespace {

/// A store with a replica that may be old, and faults.
struct fake_store {
    std::map<std::string, core::store_entry> stored;
    std::map<std::string, core::store_entry> replica;
    std::uint64_t revision { 10 };
    bool isReadable { true };
    /// Runs before the next swaps, one for each.
    std::deque<std::function<void()>> beforeSwap;
    std::optional<store::store_error> swapError;
    /// Whether a swap with an error takes effect.
    bool doesLostSwapWrite {};
    std::vector<std::string> behind;
    int swaps {};

    static daemon_ns::entry_answer lookUp(
        const std::map<std::string, core::store_entry>& entries, const std::string& key)
    {
        const auto found = entries.find(key);
        if (found == entries.end())
            return std::optional<core::store_entry> {};
        return std::optional<core::store_entry> { found->second };
    }

    daemon_ns::entry_answer known(const std::string& key) { return lookUp(replica, key); }

    daemon_ns::entry_answer read(const std::string& key)
    {
        if (!isReadable)
            return tl::unexpected(store::store_error::AnswerLost);
        return lookUp(stored, key);
    }

    std::optional<std::vector<std::string>> hostsBehind(core::config_index) { return behind; }

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

core::operation_context by(const char* author, const char* id) { return { id, author, std::nullopt }; }

commands::service_apply adding(const char* at, const core::operation_context& context)
{
    return [=](const core::service_config& current) {
        return core::addServer(current, { "buc-a", address(at) }, context);
    };
}

core::service_config storedService(const fake_store& store, const char* name)
{
    return *core::parseServiceConfig(store.stored.at(core::serviceKey(name)).value);
}

fake_store withService()
{
    fake_store store;
    const bool isCreated
        = commands(store).createService(newService("mostre", "192.0.2.1:80"), by("ana", "1")).has_value();
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

void change(fake_store& store, const char* author, const char* id, const char* at)
{
    const core::operation_context context = by(author, id);
    const core::service_result result
        = core::addServer(storedService(store, "mostre"), { "buc-a", address(at) }, context);
    cr_assert(result.has_value());
    store.put(core::serviceKey("mostre"), core::formatServiceConfig(result->config));
}

} // namespace

// Guards against a service without its address reservation, and ids that are given twice.
Test(config_commands, create_reserves_address_and_id)
{
    fake_store store = withService();
    cr_assert(store.swaps == 1);
    const std::string key = core::addressKey(address("192.0.2.1:80"), core::transport::Tcp);
    cr_assert(core::parseAddressReservation(store.stored.at(key).value)->serviceName == "mostre");
    // The replica is old now: it lacks the second service and its id.
    commands run(store);
    cr_assert(run.createService(newService("rezervari", "192.0.2.2:80"), by("ana", "2")).has_value());
    const daemon_ns::accepted_service third
        = run.createService(newService("third", "192.0.2.3:80"), by("ana", "3"));
    cr_assert(third.has_value());
    cr_assert(storedService(store, "mostre").id.value == 1);
    cr_assert(storedService(store, "rezervari").id.value == 2 && third->config.id.value == 3);
}

// Guards against two services at one address, and reuse before every host has applied the removal.
Test(config_commands, address_stays_reserved_until_applied)
{
    fake_store store = withService();
    commands run(store);
    const daemon_ns::accepted_service taken
        = run.createService(newService("other", "192.0.2.1:80"), by("ion", "2"));
    cr_assert(!taken && taken.error().error == rpc::operator_error::AddressInUse);
    cr_assert(taken.error().message.find("mostre") != std::string::npos);
    cr_assert(run.removeService("mostre", by("ana", "3")).has_value());
    store.synchronize();
    store.behind = { "127.0.1.9:7946" };
    const daemon_ns::accepted_service early
        = run.createService(newService("other", "192.0.2.1:80"), by("ion", "4"));
    cr_assert(!early && early.error().error == rpc::operator_error::AddressInUse);
    cr_assert(early.error().message.find("127.0.1.9:7946") != std::string::npos);
    const daemon_ns::accepted_service sameName
        = run.createService(newService("mostre", "192.0.2.7:80"), by("ion", "5"));
    cr_assert(!sameName && sameName.error().error == rpc::operator_error::AlreadyExists);
    store.behind.clear();
    cr_assert(run.createService(newService("other", "192.0.2.1:80"), by("ion", "6")).has_value());
    cr_assert(run.createService(newService("mostre", "192.0.2.7:80"), by("ion", "7")).has_value());
    cr_assert(storedService(store, "mostre").id.value == 3);
}

// Guards against operators who see conflicts that only the planner caused.
Test(config_commands, retries_conflicts_with_the_planner)
{
    fake_store store = withService();
    change(store, "ana", "2", "10.0.0.1:6080");
    store.synchronize();
    planEpoch(store);
    store.beforeSwap = { [&] {}, [&] { planEpoch(store); } };
    const core::operation_context context = by("ion", "3");
    const daemon_ns::accepted_service accepted
        = commands(store).changeService("mostre", context, adding("10.0.0.2:6080", context));
    cr_assert(accepted.has_value());
    const core::service_config service = storedService(store, "mostre");
    cr_assert(service.servers.size() == 2 && service.epochs.size() == 2 && store.swaps == 4);
}

// Guards against a lost update, and against a conflict that does not say who changed what.
Test(config_commands, reports_conflicts_with_another_operator)
{
    fake_store store = withService();
    store.beforeSwap = { [&] { change(store, "maria", "9", "10.0.0.9:6080"); } };
    const core::operation_context context = by("ion", "3");
    const daemon_ns::accepted_service refused
        = commands(store).changeService("mostre", context, adding("10.0.0.2:6080", context));
    cr_assert(!refused && refused.error().error == rpc::operator_error::Conflict);
    cr_assert(refused.error().message.find("maria: server add 10.0.0.9:6080") != std::string::npos);
    cr_assert(storedService(store, "mostre").servers.size() == 1);
}

// Guards against an operator's own fast sequence of changes that fails because the replica is behind.
Test(config_commands, accepts_a_sequence_of_one_author)
{
    fake_store store = withService();
    for (const char* const at : { "10.0.0.1:6080", "10.0.0.2:6080", "10.0.0.3:6080" }) {
        const core::operation_context context = by("ana", at);
        cr_assert(commands(store).changeService("mostre", context, adding(at, context)).has_value());
    }
    cr_assert(storedService(store, "mostre").servers.size() == 3);
}

// Guards against a change that runs twice when its answer was lost, and against a wrong "not run".
Test(config_commands, lost_answer_is_unknown_and_repeat_tells)
{
    for (const bool isWritten : { true, false }) {
        fake_store store = withService();
        store.swapError = store::store_error::AnswerLost;
        store.doesLostSwapWrite = isWritten;
        const core::operation_context context = by("ion", "3");
        commands run(store);
        const daemon_ns::accepted_service lost
            = run.changeService("mostre", context, adding("10.0.0.2:6080", context));
        cr_assert(!lost && lost.error().error == rpc::operator_error::OutcomeUnknown);
        store.swapError.reset();
        const daemon_ns::accepted_service repeated
            = run.changeService("mostre", context, adding("10.0.0.2:6080", context));
        cr_assert(repeated.has_value() && repeated->isRepeat == isWritten && repeated->revision == 2);
        cr_assert(storedService(store, "mostre").servers.size() == 1);
    }
}

// Guards against refusals from old knowledge, and changes on top of a store that cannot be read.
Test(config_commands, consults_the_store_before_refusing)
{
    fake_store store = withService();
    store.replica.clear();
    const core::operation_context context = by("ion", "3");
    commands run(store);
    cr_assert(run.changeService("mostre", context, adding("10.0.0.2:6080", context)).has_value());
    const daemon_ns::accepted_service missing
        = run.changeService("absent", context, adding("10.0.0.2:6080", context));
    cr_assert(!missing && missing.error().error == rpc::operator_error::NotFound);
    store.isReadable = false;
    const daemon_ns::accepted_service unsure
        = run.changeService("absent", context, adding("10.0.0.2:6080", context));
    cr_assert(!unsure && unsure.error().error == rpc::operator_error::StoreUnavailable);
    store.synchronize();
    store.swapError = store::store_error::Unavailable;
    const core::operation_context next = by("ion", "4");
    const daemon_ns::accepted_service unsent
        = run.changeService("mostre", next, adding("10.0.0.3:6080", next));
    cr_assert(!unsent && unsent.error().error == rpc::operator_error::StoreUnavailable);
}

// Guards against values of other programs that are overwritten or end the process.
Test(config_commands, leaves_unreadable_values_alone)
{
    fake_store store = withService();
    store.put(core::serviceKey("mostre"), "{");
    store.put(daemon_ns::nextServiceIdKey, "many");
    store.synchronize();
    const core::operation_context context = by("ion", "3");
    commands run(store);
    const daemon_ns::accepted_service changed
        = run.changeService("mostre", context, adding("10.0.0.2:6080", context));
    cr_assert(!changed && changed.error().message.find("services/mostre is not valid") != std::string::npos);
    const daemon_ns::accepted_service created
        = run.createService(newService("other", "192.0.2.9:80"), context);
    cr_assert(!created && created.error().message.find("next-service-id is not valid") != std::string::npos);
    cr_assert(store.swaps == 1, "only the set-up has written");
}

// Guards against a data centre that cannot be taken out twice or brought back.
Test(config_commands, data_centre_out_and_in)
{
    fake_store store;
    commands run(store);
    cr_assert(run.setDataCentre("buc-a", core::data_centre_state::Out, by("ana", "1")).has_value());
    const daemon_ns::accepted_data_centre repeat
        = run.setDataCentre("buc-a", core::data_centre_state::Out, by("ana", "1"));
    cr_assert(repeat.has_value() && repeat->isRepeat);
    const daemon_ns::accepted_data_centre back
        = run.setDataCentre("buc-a", core::data_centre_state::In, by("ana", "2"));
    cr_assert(back.has_value() && back->revision == 2);
}
