#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <shallotcove/core/address_decision.hpp>
#include <shallotcove/core/config_json.hpp>
#include <shallotcove/core/operations.hpp>

#include "config_change.hpp"

namespace shallotcove::daemon {

/// Key that holds the id of the next service to be created. The counter is stored because ids are never
/// reused.
inline const std::string nextServiceIdKey = "next-service-id";

using accepted_service = tl::expected<accepted_change<core::service_config>, rpc::call_failure>;
using accepted_data_centre = tl::expected<accepted_change<core::data_centre_config>, rpc::call_failure>;

/// The id of the next service to be created; 1 while the key is absent.
tl::expected<core::service_id, rpc::call_failure> parseNextServiceId(const std::optional<core::store_entry>&);
/// Fails if the service cannot take its address yet; the message names the service that holds the address or
/// the hosts that have not applied its release.
tl::expected<void, rpc::call_failure> checkAddress(const core::service_config&,
    const std::optional<core::store_entry>& reservation, const std::vector<std::string>& hostsBehind);

/// The operator calls that change the configuration.
template <config_store Store> class config_commands {
public:
    using service_apply = std::function<core::service_result(const core::service_config&)>;

    explicit config_commands(Store& store)
        : m_store(store)
    {
    }

    accepted_service createService(
        const core::new_service& definition, const core::operation_context& context)
    {
        config_change<core::service_config> change = serviceChange(definition.name, context);
        std::optional<store::key_swap> nextId;
        change.apply = [&](const current_value<core::service_config>& current, value_source source) {
            return applyCreate(definition, context, current, source, nextId);
        };
        change.relatedSwaps = [&](const core::service_config& created, value_source source) {
            return reserveAddress(created, source, *nextId);
        };
        return change_runner<Store, core::service_config>(m_store, change).run();
    }

    accepted_service removeService(const std::string& name, const core::operation_context& context)
    {
        config_change<core::service_config> change = serviceChange(name, context);
        change.apply = applyToExisting(
            name, [&](const core::service_config& current) { return core::removeService(current, context); });
        change.relatedSwaps = [&](const core::service_config& removed, value_source source) {
            return releaseAddress(removed, source);
        };
        return change_runner<Store, core::service_config>(m_store, change).run();
    }

    accepted_service changeService(
        const std::string& name, const core::operation_context& context, service_apply apply)
    {
        config_change<core::service_config> change = serviceChange(name, context);
        change.apply = applyToExisting(name, std::move(apply));
        return change_runner<Store, core::service_config>(m_store, change).run();
    }

    accepted_data_centre setDataCentre(
        const std::string& name, core::data_centre_state state, const core::operation_context& context)
    {
        config_change<core::data_centre_config> change;
        change.key = core::dataCentreKey(name);
        change.author = context.author;
        change.parse = core::parseDataCentreConfig;
        change.format = core::formatDataCentreConfig;
        change.apply = [&](const current_value<core::data_centre_config>& current, value_source) {
            return convertFailure<core::data_centre_config>(
                core::setDataCentreState(current.config, name, state, context));
        };
        return change_runner<Store, core::data_centre_config>(m_store, change).run();
    }

private:
    using apply_result = tl::expected<core::operation_result<core::service_config>, rpc::call_failure>;
    using swaps_or_failure = tl::expected<std::vector<store::key_swap>, rpc::call_failure>;

    template <typename Config>
    static tl::expected<core::operation_result<Config>, rpc::call_failure> convertFailure(
        const tl::expected<core::operation_result<Config>, core::operation_failure>& result)
    {
        if (!result)
            return tl::unexpected(toFailure(result.error()));
        return *result;
    }

    static config_change<core::service_config> serviceChange(
        const std::string& name, const core::operation_context& context)
    {
        config_change<core::service_config> change;
        change.key = core::serviceKey(name);
        change.author = context.author;
        change.parse = core::parseServiceConfig;
        change.format = core::formatServiceConfig;
        return change;
    }

    static std::function<apply_result(const current_value<core::service_config>&, value_source)>
    applyToExisting(const std::string& name, service_apply apply)
    {
        return [name, apply = std::move(apply)](
                   const current_value<core::service_config>& current, value_source) -> apply_result {
            if (!current.config)
                return tl::unexpected(rpc::call_failure {
                    rpc::operator_error::NotFound, "service " + name + " does not exist" });
            return convertFailure<core::service_config>(apply(*current.config));
        };
    }

    entry_result find(const std::string& key, value_source source)
    {
        return source == value_source::Replica ? m_store.readReplica(key) : m_store.read(key);
    }

    apply_result applyCreate(const core::new_service& definition, const core::operation_context& context,
        const current_value<core::service_config>& current, value_source source,
        std::optional<store::key_swap>& nextId)
    {
        const entry_result counter = find(nextServiceIdKey, source);
        if (!counter)
            return tl::unexpected(toFailure(counter.error(), false));
        const tl::expected<core::service_id, rpc::call_failure> serviceId = parseNextServiceId(*counter);
        if (!serviceId)
            return tl::unexpected(serviceId.error());
        nextId = store::key_swap { nextServiceIdKey, *counter ? (*counter)->modified : core::config_index {},
            std::to_string(serviceId->value + 1) };
        // The name of a removed service can be reused once every host has applied the removal, so that none
        // still holds the old value.
        const bool isReplaceable = current.config && current.config->state == core::service_state::Removing
            && isAppliedEverywhere(current.modified);
        return convertFailure<core::service_config>(
            core::createService(isReplaceable ? std::optional<core::service_config> {} : current.config,
                definition, *serviceId, context));
    }

    bool isAppliedEverywhere(core::config_index index)
    {
        const std::optional<std::vector<std::string>> laggingHosts = m_store.hostsBehind(index);
        return laggingHosts && laggingHosts->empty();
    }

    swaps_or_failure reserveAddress(
        const core::service_config& created, value_source source, const store::key_swap& nextId)
    {
        const std::string key = core::addressKey(created.address, created.protocol);
        const entry_result reservation = find(key, source);
        if (!reservation)
            return tl::unexpected(toFailure(reservation.error(), false));
        const core::config_index modified = *reservation ? (*reservation)->modified : core::config_index {};
        const std::optional<std::vector<std::string>> laggingHosts = m_store.hostsBehind(modified);
        if (!laggingHosts)
            return tl::unexpected(toFailure(store::store_error::Unavailable, false));
        if (const tl::expected<void, rpc::call_failure> availability
            = checkAddress(created, *reservation, *laggingHosts);
            !availability)
            return tl::unexpected(availability.error());
        return std::vector<store::key_swap> {
            { key, modified, core::formatAddressReservation({ created.name, created.id, false }) }, nextId
        };
    }

    swaps_or_failure releaseAddress(const core::service_config& removed, value_source source)
    {
        const std::string key = core::addressKey(removed.address, removed.protocol);
        const entry_result reservation = find(key, source);
        if (!reservation)
            return tl::unexpected(toFailure(reservation.error(), false));
        return std::vector<store::key_swap> { { key,
            *reservation ? (*reservation)->modified : core::config_index {},
            core::formatAddressReservation({ removed.name, removed.id, true }) } };
    }

    Store& m_store;
};

} // namespace shallotcove::daemon
