#include <shallotcove/core/operations.hpp>

#include <array>
#include <functional>

#include <criterion/criterion.h>

#include <shallotcove/core/config_json.hpp>
#include <shallotcove/core/config_limits.hpp>
#include <shallotcove/core/ip_prefix.hpp>

namespace core = shallotcove::core;

namespace {

core::socket_address parseAddress(const char* text) { return *core::socket_address::parse(text); }

core::operation_context contextWithId(
    const std::string& id, std::optional<std::uint64_t> expected = std::nullopt)
{
    return { id, "ana", expected };
}

core::new_server serverAt(const char* text) { return { "buc-a", parseAddress(text), 100, 10, 0 }; }

core::caller_class callerClass(const char* name, const char* prefix)
{
    const core::ip_prefix parsed = *core::ip_prefix::parse(prefix);
    return { name, parsed.address, parsed.length, 5 };
}

/// Service at revision 3, produced by op-1 to op-3, with the active server 1 and the draining server 2.
core::service_config initialService()
{
    core::service_config service = core::createService(std::nullopt,
        { "rezervari", parseAddress("192.0.2.1:443"), core::transport::Tcp, {} }, { 7 },
        contextWithId("op-1"))
                                       ->config;
    service = core::addServer(service, serverAt("10.0.0.1:6080"), contextWithId("op-2"))->config;
    service = core::addServer(service, serverAt("10.0.0.2:6080"), contextWithId("op-3"))->config;
    service.servers[1].state = core::server_state::Draining;
    return service;
}

struct failure_case {
    const char* name;
    std::function<core::service_result()> run;
    core::operation_error error;
    /// Text that the message contains.
    const char* message;
};

void checkFailures(const std::vector<failure_case>& cases)
{
    for (const failure_case& failure : cases) {
        const core::service_result result = failure.run();
        cr_assert(!result, "%s succeeds", failure.name);
        cr_assert(
            result.error().error == failure.error, "%s: %s", failure.name, result.error().message.c_str());
        cr_assert(result.error().message.find(failure.message) != std::string::npos, "%s: %s", failure.name,
            result.error().message.c_str());
    }
}

} // namespace

// Each operation must produce a value that hosts accept. Repeating it with the same id must return the first
// outcome and change nothing, also when the value has changed in between.
Test(operations, each_operation_changes_once_and_can_be_repeated)
{
    struct operation_case {
        const char* name;
        std::function<core::service_result(const core::service_config&, const core::operation_context&)> run;
        std::function<bool(const core::service_config&)> isApplied;
    };
    const std::vector<operation_case> cases {
        { "remove service",
            [](const core::service_config& service, const core::operation_context& context) {
                return core::removeService(service, context);
            },
            [](const core::service_config& service) {
                return service.state == core::service_state::Removing;
            } },
        { "add",
            [](const core::service_config& service, const core::operation_context& context) {
                return core::addServer(service, serverAt("10.0.0.3:6080"), context);
            },
            [](const core::service_config& service) {
                return service.servers.size() == 3 && service.servers[2].id.value == 3
                    && service.nextServerId == 4;
            } },
        { "drain",
            [](const core::service_config& service, const core::operation_context& context) {
                return core::drainServer(service, { 1 }, context);
            },
            [](const core::service_config& service) {
                return service.servers[0].state == core::server_state::Draining;
            } },
        { "undrain",
            [](const core::service_config& service, const core::operation_context& context) {
                return core::undrainServer(service, { 2 }, context);
            },
            [](const core::service_config& service) {
                return service.servers[1].state == core::server_state::Active;
            } },
        { "remove",
            [](const core::service_config& service, const core::operation_context& context) {
                return core::removeServer(service, { 2 }, context);
            },
            [](const core::service_config& service) {
                return service.servers[1].state == core::server_state::Removed;
            } },
        { "weight",
            [](const core::service_config& service, const core::operation_context& context) {
                return core::setServerWeight(service, { 1 }, 250, context);
            },
            [](const core::service_config& service) { return service.servers[0].weight == 250; } },
        { "classes",
            [](const core::service_config& service, const core::operation_context& context) {
                return core::setCallerClasses(
                    service, { callerClass("couples", "198.51.100.0/24") }, context);
            },
            [](const core::service_config& service) { return service.classes.size() == 1; } },
    };
    for (const operation_case& testCase : cases) {
        const core::service_result done = testCase.run(initialService(), contextWithId("op-4", 3));
        cr_assert(done.has_value(), "%s", testCase.name);
        cr_assert(
            testCase.isApplied(done->config) && !testCase.isApplied(initialService()), "%s", testCase.name);
        cr_assert(done->revision == 4 && done->config.revision == 4 && !done->isRepeat, "%s", testCase.name);
        const tl::expected<core::service_config, core::config_problems> parsed
            = core::parseServiceConfig(core::formatServiceConfig(done->config));
        cr_assert(parsed && *parsed == done->config, "%s", testCase.name);
        // The repeat carries the old expected revision although another operation has changed the value.
        core::service_config later = done->config;
        later.revision = 9;
        const core::service_result repeat = testCase.run(later, contextWithId("op-4", 3));
        cr_assert(repeat && repeat->isRepeat && repeat->revision == 4 && repeat->config == later, "%s",
            testCase.name);
    }
}

// If the answer to a creation is lost, the client repeats it. The repeat must neither fail nor create a
// second service.
Test(operations, creation_can_be_repeated)
{
    const core::new_service requested { "rezervari", parseAddress("192.0.2.1:443"), core::transport::Tcp,
        {} };
    const core::service_result repeat
        = core::createService(initialService(), requested, { 8 }, contextWithId("op-1"));
    cr_assert(repeat && repeat->isRepeat && repeat->revision == 1 && repeat->config.id.value == 7);
}

// An operation must fail on an object that is missing or removed, with arguments that hosts cannot apply, and
// with an outdated expected revision, which would overwrite another operator's change unseen.
Test(operations, invalid_operations_fail)
{
    const core::new_service requested { "rezervari", parseAddress("192.0.2.1:443"), core::transport::Tcp,
        {} };
    const core::service_config service = initialService();
    core::service_config removing = core::removeService(service, contextWithId("op-4"))->config;
    core::service_config serviceAtEpochLimit = service;
    serviceAtEpochLimit.epochs.resize(core::maximumLiveEpochs);
    core::service_config serviceWithRemovedServer
        = core::removeServer(service, { 1 }, contextWithId("op-4"))->config;
    using enum core::operation_error;
    checkFailures({
        { "create existing",
            [&] { return core::createService(service, requested, { 8 }, contextWithId("x")); }, AlreadyExists,
            "rezervari exists with address 192.0.2.1:443" },
        { "create while removing",
            [&] { return core::createService(removing, requested, { 8 }, contextWithId("x")); },
            AlreadyExists, "still being removed" },
        { "create with revision",
            [&] { return core::createService(std::nullopt, requested, { 8 }, contextWithId("x", 3)); },
            Conflict, "current revision is 0; no such revision" },
        { "create bad",
            [] {
                return core::createService(std::nullopt,
                    { "Bad", parseAddress("224.0.0.1:0"), {},
                        { callerClass("a", "::/0"), callerClass("a", "::/0") } },
                    { 8 }, contextWithId("x"));
            },
            InvalidArgument, "name is \"Bad\"; allowed: 1 to 63 characters" },
        { "create without protocol",
            [] {
                return core::createService(
                    std::nullopt, { "a", parseAddress("192.0.2.1:1"), {}, {} }, { 8 }, contextWithId("x"));
            },
            InvalidArgument, "protocol is 0; allowed: 6 (TCP) or 17 (UDP)" },
        { "change while removing", [&] { return core::drainServer(removing, { 1 }, contextWithId("x")); },
            NotFound, "rezervari is being removed" },
        { "conflict", [&] { return core::drainServer(service, { 1 }, contextWithId("x", 1)); }, Conflict,
            "expected revision 1, but the current revision is 3; revision 2 by ana: server add "
            "10.0.0.1:6080" },
        { "id of another operation", [&] { return core::drainServer(service, { 1 }, contextWithId("op-2")); },
            InvalidArgument, "was used for another operation, by ana: server add" },
        { "no operation id", [&] { return core::drainServer(service, { 1 }, contextWithId("")); },
            InvalidArgument, "operationId is \"\"; allowed: 1 to 128 bytes" },
        { "long operation id",
            [&] { return core::drainServer(service, { 1 }, contextWithId(std::string(129, 'x'))); },
            InvalidArgument, "operationId is a text of 129 bytes" },
        { "no author",
            [&] {
                return core::drainServer(service, { 1 }, { "x", "", {} });
            },
            InvalidArgument, "author" },
        { "unknown server", [&] { return core::drainServer(service, { 9 }, contextWithId("x")); }, NotFound,
            "server 9 is not in service rezervari" },
        { "removed server",
            [&] { return core::undrainServer(serviceWithRemovedServer, { 1 }, contextWithId("x")); },
            NotFound, "server 1" },
        { "drain twice", [&] { return core::drainServer(service, { 2 }, contextWithId("x")); },
            InvalidArgument, "server 2 is Draining; allowed: Active" },
        { "undrain active", [&] { return core::undrainServer(service, { 1 }, contextWithId("x")); },
            InvalidArgument, "server 1 is Active; allowed: Draining" },
        { "weight 0", [&] { return core::setServerWeight(service, { 1 }, 0, contextWithId("x")); },
            InvalidArgument, "weight is 0; allowed: 1 to 10000" },
        { "weight 10001", [&] { return core::setServerWeight(service, { 1 }, 10'001, contextWithId("x")); },
            InvalidArgument, "weight is 10001" },
        { "same address",
            [&] { return core::addServer(service, serverAt("10.0.0.1:6080"), contextWithId("x")); },
            AlreadyExists, "server 1 of service rezervari has address 10.0.0.1:6080" },
        { "unspecified address",
            [&] { return core::addServer(service, serverAt("0.0.0.0:1"), contextWithId("x")); },
            InvalidArgument, "address is 0.0.0.0:1" },
        { "cold above warm",
            [&] {
                return core::addServer(
                    service, { "buc-a", parseAddress("10.0.0.9:1"), 1, 20, 10 }, contextWithId("x"));
            },
            InvalidArgument, "coldNewFlowsPerSecond is 20; allowed: 1 to 10" },
        { "too many epochs",
            [&] { return core::addServer(serviceAtEpochLimit, serverAt("10.0.0.9:1"), contextWithId("x")); },
            TooManyChanges, "8 live epochs" },
        { "undrain with too many epochs",
            [&] { return core::undrainServer(serviceAtEpochLimit, { 2 }, contextWithId("x")); },
            TooManyChanges, "8 live epochs" },
        { "weight with too many epochs",
            [&] { return core::setServerWeight(serviceAtEpochLimit, { 1 }, 5, contextWithId("x")); },
            TooManyChanges, "8 live epochs" },
        { "prefix bits",
            [&] {
                return core::setCallerClasses(
                    service, { { "a", parseAddress("10.0.0.1:1").address, 100, 0 } }, contextWithId("x"));
            },
            InvalidArgument, "classes[0].prefix is 10.0.0.1/4" },
        { "too many classes",
            [&] {
                return core::setCallerClasses(
                    service, std::vector<core::caller_class>(257), contextWithId("x"));
            },
            InvalidArgument, "number of classes is 257; allowed: 0 to 256" },
    });
    // Draining and removing a server do not wait for live epochs to retire.
    cr_assert(core::drainServer(serviceAtEpochLimit, { 1 }, contextWithId("x")).has_value());
    cr_assert(core::removeServer(serviceAtEpochLimit, { 1 }, contextWithId("x")).has_value());
}

// The records of operations must not grow without bound, and the message of a conflict must say that earlier
// changes are no longer recorded.
Test(operations, keeps_the_last_32_operations)
{
    core::service_config service = initialService();
    for (std::uint32_t weight = 1; weight <= 40; ++weight)
        service = core::setServerWeight(service, { 1 }, weight, contextWithId("w-" + std::to_string(weight)))
                      ->config;
    cr_assert(service.operations.size() == core::maximumOperationRecords);
    cr_assert(service.operations.front().id == "w-9" && service.operations.back().id == "w-40");
    const core::service_result conflict = core::removeService(service, contextWithId("x", 5));
    cr_assert(!conflict);
    cr_assert(conflict.error().message.find("changes before revision 12 are no longer recorded; revision 12")
        != std::string::npos);
}

// Adding to a full list of servers must erase removed servers to make room, but not one that a live epoch
// still contains.
Test(operations, full_list_drops_retired_servers_only)
{
    core::service_config service = initialService();
    for (std::uint32_t id = 3; id <= core::maximumServers; ++id) {
        service.servers.push_back(service.servers.back());
        service.servers.back().id = { id };
        service.servers.back().address.port = static_cast<std::uint16_t>(id);
    }
    service.nextServerId = core::maximumServers + 1;
    const core::service_result full = core::addServer(service, serverAt("10.0.9.9:1"), contextWithId("x"));
    cr_assert(!full && full.error().error == core::operation_error::InvalidArgument);
    service.servers[4].state = core::server_state::Removed;
    service.servers[5].state = core::server_state::Removed;
    service.epochs = { { { 1 }, core::epoch_phase::Active, { { { 5 }, 1 } } } };
    const core::service_result added = core::addServer(service, serverAt("10.0.9.9:1"), contextWithId("x"));
    cr_assert(added.has_value());
    cr_assert(added->config.servers.size() == core::maximumServers);
    cr_assert(added->config.servers[4].id.value == 5 && added->config.servers[5].id.value == 7);
    cr_assert(added->config.servers.back().id.value == core::maximumServers + 1);
}

// It must be possible to take a data centre out before the store has a value for it. A repeat with the same
// id must not take it out a second time.
Test(operations, data_centre_out_and_in)
{
    using enum core::data_centre_state;
    const core::data_centre_result out
        = core::setDataCentreState(std::nullopt, "buc-a", Out, contextWithId("a", 0));
    cr_assert(out && out->config.state == Out && out->revision == 1);
    const core::data_centre_result repeat
        = core::setDataCentreState(out->config, "buc-a", Out, contextWithId("a", 0));
    cr_assert(repeat && repeat->isRepeat && repeat->revision == 1);
    const core::data_centre_result secondOut
        = core::setDataCentreState(out->config, "buc-a", Out, contextWithId("b"));
    cr_assert(!secondOut && secondOut.error().error == core::operation_error::InvalidArgument);
    const core::data_centre_result stale
        = core::setDataCentreState(out->config, "buc-a", In, contextWithId("c", 0));
    cr_assert(!stale && stale.error().error == core::operation_error::Conflict);
    const core::data_centre_result in
        = core::setDataCentreState(out->config, "buc-a", In, contextWithId("c", 1));
    cr_assert(in && in->config.state == In && in->revision == 2);
    const core::data_centre_result bad = core::setDataCentreState(std::nullopt, "", Out, contextWithId("a"));
    cr_assert(!bad && bad.error().error == core::operation_error::InvalidArgument);
}
