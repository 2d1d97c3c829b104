#include <shallotcove/core/operations.hpp>

#include <algorithm>

#include <shallotcove/core/config_limits.hpp>

#include "operation_checks.hpp"

namespace shallotcove::core {

namespace {

    tl::unexpected<operation_failure> unexpectedFailure(operation_error error, std::string message)
    {
        return tl::unexpected(operation_failure { error, std::move(message) });
    }

    std::string describe(backend_server_id id) { return "server " + std::to_string(id.value); }

    std::string describe(const new_server& server)
    {
        return "server add " + server.address.toString() + " in " + server.dataCentre + ", weight "
            + std::to_string(server.weight) + ", cold " + std::to_string(server.coldNewFlowsPerSecond)
            + " and warm " + std::to_string(server.newFlowsPerSecond) + " new flows/s";
    }

    std::string describe(const new_service& service)
    {
        return "service create " + service.name + " at " + service.address.toString()
            + (service.protocol == transport::Tcp ? "/tcp" : "/udp") + ", " + summaryOf(service.classes);
    }

    /// Completes a change: increments the revision and records the operation.
    template <typename Config>
    operation_result<Config> withNextRevision(
        Config config, const std::string& summary, const operation_context& context)
    {
        ++config.revision;
        config.operations = withRecord(
            std::move(config.operations), { context.operationId, context.author, summary, config.revision });
        const std::uint64_t revision = config.revision;
        return { std::move(config), false, revision };
    }

    /// Applies change(service), which returns the new value or a failure. A repeated operation is not applied
    /// again.
    template <typename Change>
    service_result changeService(const service_config& current, const std::string& summary,
        const operation_context& context, Change change)
    {
        const context_decision decision
            = checkContext(current.operations, current.revision, summary, context);
        if (decision.repeatedRevision)
            return operation_result<service_config> { current, true, *decision.repeatedRevision };
        if (decision.failure)
            return tl::unexpected(*decision.failure);
        if (current.state == service_state::Removing)
            return unexpectedFailure(
                operation_error::NotFound, "service " + current.name + " is being removed");
        tl::expected<service_config, operation_failure> changed = change(current);
        if (!changed)
            return tl::unexpected(changed.error());
        return withNextRevision(std::move(*changed), summary, context);
    }

    /// Applies change(server), which modifies the server or returns a failure. A removed server counts as not
    /// found.
    template <typename Change>
    service_result changeServer(const service_config& current, backend_server_id id,
        const std::string& summary, const operation_context& context, Change change)
    {
        return changeService(current, summary, context,
            [&](service_config service) -> tl::expected<service_config, operation_failure> {
                const auto server = std::find_if(service.servers.begin(), service.servers.end(),
                    [&](const backend_server& candidate) { return candidate.id == id; });
                if (server == service.servers.end() || server->state == server_state::Removed)
                    return unexpectedFailure(
                        operation_error::NotFound, describe(id) + " is not in service " + service.name);
                if (const std::optional<operation_failure> failure = change(*server))
                    return tl::unexpected(*failure);
                return service;
            });
    }

    std::optional<operation_failure> requireState(const backend_server& server, server_state required)
    {
        if (server.state == required)
            return std::nullopt;
        const bool isDraining = server.state == server_state::Draining;
        return operation_failure { operation_error::InvalidArgument,
            describe(server.id) + " is "
                + (isDraining ? "Draining; allowed: Active" : "Active; allowed: Draining") };
    }

    /// Fails if the service has the maximum number of live epochs. Only for changes that can wait: draining
    /// or removing a server must not be delayed by earlier changes.
    std::optional<operation_failure> requireFreeEpoch(const service_config& service)
    {
        if (service.epochs.size() < maximumLiveEpochs)
            return std::nullopt;
        return operation_failure { operation_error::TooManyChanges,
            "service " + service.name + " has " + std::to_string(service.epochs.size())
                + " live epochs; allowed: fewer than " + std::to_string(maximumLiveEpochs)
                + "; repeat the operation when an epoch has retired" };
    }

    std::optional<operation_failure> checkServer(const new_server& server)
    {
        argument_checks checks;
        checks.name("dataCentre", server.dataCentre);
        checks.address("address", server.address);
        checks.number("weight", server.weight, 1, maximumWeight);
        checks.number("newFlowsPerSecond", server.newFlowsPerSecond, 0, maximumNewFlowsPerSecond);
        const std::uint32_t maximumColdRate
            = server.newFlowsPerSecond == 0 ? maximumNewFlowsPerSecond : server.newFlowsPerSecond;
        checks.number("coldNewFlowsPerSecond", server.coldNewFlowsPerSecond, 1, maximumColdRate);
        return checks.failure();
    }

    bool isInLiveEpoch(const service_config& service, backend_server_id id)
    {
        return std::any_of(service.epochs.begin(), service.epochs.end(), [&](const epoch_plan& epoch) {
            return std::any_of(epoch.servers.begin(), epoch.servers.end(),
                [&](const weighted_server& weighted) { return weighted.server == id; });
        });
    }

    /// Makes room in a full list by erasing the removed servers that no live epoch contains. Until the list
    /// is full, removed servers are kept because their last flows need the address.
    void eraseRetiredServers(service_config& service)
    {
        std::erase_if(service.servers, [&](const backend_server& server) {
            return server.state == server_state::Removed && !isInLiveEpoch(service, server.id);
        });
    }

    tl::expected<service_config, operation_failure> withNewServer(
        service_config service, const new_server& server)
    {
        if (service.servers.size() >= maximumServers)
            eraseRetiredServers(service);
        if (service.servers.size() >= maximumServers || service.nextServerId == UINT32_MAX)
            return unexpectedFailure(operation_error::InvalidArgument,
                "service " + service.name + " has " + std::to_string(service.servers.size())
                    + " servers and next server id " + std::to_string(service.nextServerId)
                    + "; allowed: fewer than " + std::to_string(maximumServers) + " servers and ids below "
                    + std::to_string(UINT32_MAX));
        for (const backend_server& other : service.servers) {
            if (other.address == server.address && other.state != server_state::Removed)
                return unexpectedFailure(operation_error::AlreadyExists,
                    describe(other.id) + " of service " + service.name + " has address "
                        + server.address.toString());
        }
        service.servers.push_back({ { service.nextServerId }, server.dataCentre, server.address,
            server.weight, server_state::Active, server.coldNewFlowsPerSecond, server.newFlowsPerSecond });
        ++service.nextServerId;
        return service;
    }

} // namespace

service_result createService(const std::optional<service_config>& current, const new_service& requested,
    service_id newId, const operation_context& context)
{
    argument_checks checks;
    checks.name("name", requested.name);
    checks.address("address", requested.address);
    checks.callerClasses(requested.classes);
    if (requested.protocol != transport::Tcp && requested.protocol != transport::Udp)
        checks.addProblem(
            "protocol", std::to_string(static_cast<int>(requested.protocol)), "6 (TCP) or 17 (UDP)");
    if (const std::optional<operation_failure> failure = checks.failure())
        return tl::unexpected(*failure);
    const std::string summary = describe(requested);
    const service_config empty;
    const service_config& existing = current ? *current : empty;
    const context_decision decision = checkContext(existing.operations, existing.revision, summary, context);
    if (decision.repeatedRevision)
        return operation_result<service_config> { existing, true, *decision.repeatedRevision };
    if (decision.failure)
        return tl::unexpected(*decision.failure);
    // The name of a service stays in use while the service is being removed: a new value under the same key
    // would hide the removal from hosts that have not applied it yet.
    if (current && current->state == service_state::Removing)
        return unexpectedFailure(operation_error::AlreadyExists,
            "service " + requested.name
                + " is still being removed; its name is free once every host has applied this");
    if (current)
        return unexpectedFailure(operation_error::AlreadyExists,
            "service " + requested.name + " exists with address " + current->address.toString());
    service_config service;
    service.id = newId;
    service.name = requested.name;
    service.address = requested.address;
    service.protocol = requested.protocol;
    service.classes = requested.classes;
    return withNextRevision(std::move(service), summary, context);
}

service_result removeService(const service_config& current, const operation_context& context)
{
    return changeService(current, "service remove " + current.name, context,
        [](service_config service) -> tl::expected<service_config, operation_failure> {
            service.state = service_state::Removing;
            return service;
        });
}

service_result addServer(
    const service_config& current, const new_server& requested, const operation_context& context)
{
    if (const std::optional<operation_failure> failure = checkServer(requested))
        return tl::unexpected(*failure);
    return changeService(current, describe(requested), context,
        [&](service_config service) -> tl::expected<service_config, operation_failure> {
            if (const std::optional<operation_failure> failure = requireFreeEpoch(service))
                return tl::unexpected(*failure);
            return withNewServer(std::move(service), requested);
        });
}

service_result drainServer(
    const service_config& current, backend_server_id id, const operation_context& context)
{
    return changeServer(
        current, id, "server drain " + std::to_string(id.value), context, [](backend_server& server) {
            const std::optional<operation_failure> failure = requireState(server, server_state::Active);
            server.state = server_state::Draining;
            return failure;
        });
}

service_result undrainServer(
    const service_config& current, backend_server_id id, const operation_context& context)
{
    return changeServer(
        current, id, "server undrain " + std::to_string(id.value), context, [&](backend_server& server) {
            const std::optional<operation_failure> failure = requireState(server, server_state::Draining);
            server.state = server_state::Active;
            return failure ? failure : requireFreeEpoch(current);
        });
}

service_result removeServer(
    const service_config& current, backend_server_id id, const operation_context& context)
{
    return changeServer(current, id, "server remove " + std::to_string(id.value), context,
        [](backend_server& server) -> std::optional<operation_failure> {
            server.state = server_state::Removed;
            return std::nullopt;
        });
}

service_result setServerWeight(const service_config& current, backend_server_id id, std::uint32_t weight,
    const operation_context& context)
{
    argument_checks checks;
    checks.number("weight", weight, 1, maximumWeight);
    if (const std::optional<operation_failure> failure = checks.failure())
        return tl::unexpected(*failure);
    return changeServer(current, id,
        "server weight " + std::to_string(id.value) + " to " + std::to_string(weight), context,
        [&](backend_server& server) {
            server.weight = weight;
            return requireFreeEpoch(current);
        });
}

service_result setCallerClasses(
    const service_config& current, const std::vector<caller_class>& classes, const operation_context& context)
{
    argument_checks checks;
    checks.callerClasses(classes);
    if (const std::optional<operation_failure> failure = checks.failure())
        return tl::unexpected(*failure);
    return changeService(current, "set " + summaryOf(classes), context,
        [&](service_config service) -> tl::expected<service_config, operation_failure> {
            service.classes = classes;
            return service;
        });
}

data_centre_result setDataCentreState(const std::optional<data_centre_config>& current,
    const std::string& name, data_centre_state state, const operation_context& context)
{
    argument_checks checks;
    checks.name("name", name);
    if (const std::optional<operation_failure> failure = checks.failure())
        return tl::unexpected(*failure);
    data_centre_config dataCentre = current.value_or(data_centre_config { name, {}, 0, {} });
    const char* const stateText = state == data_centre_state::Out ? "out" : "in";
    const std::string summary = std::string("data-centre ") + stateText + " " + name;
    const context_decision decision
        = checkContext(dataCentre.operations, dataCentre.revision, summary, context);
    if (decision.repeatedRevision)
        return operation_result<data_centre_config> { std::move(dataCentre), true,
            *decision.repeatedRevision };
    if (decision.failure)
        return tl::unexpected(*decision.failure);
    if (dataCentre.state == state) {
        const std::string last
            = dataCentre.operations.empty() ? "" : "; last changed by " + dataCentre.operations.back().author;
        return unexpectedFailure(
            operation_error::InvalidArgument, "data centre " + name + " is already " + stateText + last);
    }
    dataCentre.state = state;
    return withNextRevision(std::move(dataCentre), summary, context);
}

} // namespace shallotcove::core
