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

/// Key of the id that the next service gets; in the store because ids are never reused.
inline const std::string nextServiceIdKey = "next-service-id";

using accepted_service = tl::expected<accepted_change<core::service_config>, rpc::call_failure>;
using accepted_data_centre = tl::expected<accepted_change<core::data_centre_config>, rpc::call_failure>;

/// The id that the next service gets; 1 while the key is absent.
tl::expected<core::service_id, rpc::call_failure> parseNextServiceId(const std::optional<core::store_entry>&);
/// Whether a service may take its address; the failure says who has it.
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

    accepted_service createService(const core::new_service& wanted, const core::operation_context& context)
    {
        config_change<core::service_config> change = serviceChange(wanted.name, context);
        std::optional<store::key_swap> nextId;
        change.apply = [&](const current_value<core::service_config>& current, value_source source) {
            return applyCreate(wanted, context, current, source, nextId);
        };
        change.companions = [&](const core::service_config& created, value_source source) {
            return reserveAddress(created, source, *nextId);
        };
        return change_runner<Store, core::service_config>(m_store, change).run();
    }

    accepted_service removeService(const std::string& name, const core::operation_context& context)
    {
        config_change<core::service_config> change = serviceChange(name, context);
        change.apply = existing(
            name, [&](const core::service_config& current) { return core::removeService(current, context); });
        change.companions = [&](const core::service_config& removed, value_source source) {
            return releaseAddress(removed, source);
        };
        return change_runner<Store, core::service_config>(m_store, change).run();
    }

    accepted_service changeService(
        const std::string& name, const core::operation_context& context, service_apply apply)
    {
        config_change<core::service_config> change = serviceChange(name, context);
        change.apply = existing(name, std::move(apply));
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
            return translated<core::data_centre_config>(
                core::setDataCentreState(current.config, name, state, context));
        };
        return change_runner<Store, core::data_centre_config>(m_store, change).run();
    }

private:
    using service_applied = tl::expected<core::operation_result<core::service_config>, rpc::call_failure>;
    using swaps_or_failure = tl::expected<std::vector<store::key_swap>, rpc::call_failure>;

    template <typename Config>
    static tl::expected<core::operation_result<Config>, rpc::call_failure> translated(
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

    static std::function<service_applied(const current_value<core::service_config>&, value_source)> existing(
        const std::string& name, service_apply apply)
    {
        return [name, apply = std::move(apply)](
                   const current_value<core::service_config>& current, value_source) -> service_applied {
            if (!current.config)
                return tl::unexpected(rpc::call_failure {
                    rpc::operator_error::NotFound, "service " + name + " does not exist" });
            return translated<core::service_config>(apply(*current.config));
        };
    }

    entry_answer find(const std::string& key, value_source source)
    {
        return source == value_source::Known ? m_store.known(key) : m_store.read(key);
    }

    service_applied applyCreate(const core::new_service& wanted, const core::operation_context& context,
        const current_value<core::service_config>& current, value_source source,
        std::optional<store::key_swap>& nextId)
    {
        const entry_answer counter = find(nextServiceIdKey, source);
        if (!counter)
            return tl::unexpected(toFailure(counter.error(), false));
        const tl::expected<core::service_id, rpc::call_failure> fresh = parseNextServiceId(*counter);
        if (!fresh)
            return tl::unexpected(fresh.error());
        nextId = store::key_swap { nextServiceIdKey, *counter ? (*counter)->modified : core::config_index {},
            std::to_string(fresh->value + 1) };
        // The name of a removed service is free once no host can still hold the old value.
        const bool isReplaceable = current.config && current.config->state == core::service_state::Removing
            && isAppliedEverywhere(current.modified);
        return translated<core::service_config>(
            core::createService(isReplaceable ? std::optional<core::service_config> {} : current.config,
                wanted, *fresh, context));
    }

    bool isAppliedEverywhere(core::config_index index)
    {
        const std::optional<std::vector<std::string>> behind = m_store.hostsBehind(index);
        return behind && behind->empty();
    }

    swaps_or_failure reserveAddress(
        const core::service_config& created, value_source source, const store::key_swap& nextId)
    {
        const std::string key = core::addressKey(created.address, created.protocol);
        const entry_answer reservation = find(key, source);
        if (!reservation)
            return tl::unexpected(toFailure(reservation.error(), false));
        const core::config_index modified = *reservation ? (*reservation)->modified : core::config_index {};
        const std::optional<std::vector<std::string>> behind = m_store.hostsBehind(modified);
        if (!behind)
            return tl::unexpected(toFailure(store::store_error::Unavailable, false));
        if (const tl::expected<void, rpc::call_failure> free = checkAddress(created, *reservation, *behind);
            !free)
            return tl::unexpected(free.error());
        return std::vector<store::key_swap> {
            { key, modified, core::formatAddressReservation({ created.name, created.id, false }) }, nextId
        };
    }

    swaps_or_failure releaseAddress(const core::service_config& removed, value_source source)
    {
        const std::string key = core::addressKey(removed.address, removed.protocol);
        const entry_answer reservation = find(key, source);
        if (!reservation)
            return tl::unexpected(toFailure(reservation.error(), false));
        return std::vector<store::key_swap> { { key,
            *reservation ? (*reservation)->modified : core::config_index {},
            core::formatAddressReservation({ removed.name, removed.id, true }) } };
    }

    Store& m_store;
};

} // namespace shallotcove::daemon
