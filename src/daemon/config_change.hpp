#pragma once

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/config_json.hpp>
#include <shallotcove/core/control_engine.hpp>
#include <shallotcove/core/operations.hpp>
#include <shallotcove/rpc/call_result.hpp>
#include <shallotcove/store/key_value_client.hpp>

namespace shallotcove::daemon {

using entry_answer = tl::expected<std::optional<core::store_entry>, store::store_error>;

/// Where configuration is read and written; operator_store in the daemon, a fake in tests.
template <typename Store>
concept config_store
    = requires(Store store, std::string key, std::vector<store::key_swap> swaps, core::config_index index)
{
    {
        store.known(key)
        } -> std::same_as<entry_answer>;
    {
        store.read(key)
        } -> std::same_as<entry_answer>;
    {
        store.swap(swaps)
        } -> std::same_as<tl::expected<store::swap_result, store::store_error>>;
    {
        store.hostsBehind(index)
        } -> std::same_as<std::optional<std::vector<std::string>>>;
};

/// An accepted change.
template <typename Config> struct accepted_change {
    Config config;
    bool isRepeat {};
    std::uint64_t revision {};
    /// Store revision at which the change is in force.
    core::config_index index;
};

rpc::call_failure toFailure(const core::operation_failure&);
rpc::call_failure toFailure(store::store_error, bool isWrite);
rpc::call_failure invalidValue(const std::string& key, const core::config_problems&);

/// Whether a change applies to the value that the host knows or to the one read from the store.
enum class value_source : std::uint8_t { Known, Store };

/// A value as it is before a change; no config stands for an absent key.
template <typename Config> struct current_value {
    std::optional<Config> config;
    core::config_index modified;
};

/// How to change one kind of value.
template <typename Config> struct config_change {
    std::string key;
    std::string author;
    tl::expected<Config, core::config_problems> (*parse)(std::string_view);
    std::string (*format)(const Config&);
    /// Gives the new value.
    std::function<tl::expected<core::operation_result<Config>, rpc::call_failure>(
        const current_value<Config>&, value_source)>
        apply {};
    /// Adds the keys that change together with the value. May be empty.
    std::function<tl::expected<std::vector<store::key_swap>, rpc::call_failure>(
        const Config& changed, value_source)>
        companions {};
};

/// Whether another author changed the value after a revision; says who changed what.
std::optional<rpc::call_failure> checkRace(const std::string& key, const std::string& author,
    std::uint64_t before, std::uint64_t now, const std::vector<core::operation_record>&);

/// Applies an operator's change by compare-and-swap. A conflict with the planner, which does not advance the
/// revision, is retried, as is one with another change of the same author; one with another operator is
/// reported.
template <config_store Store, typename Config> class change_runner {
public:
    using outcome = tl::expected<accepted_change<Config>, rpc::call_failure>;

    change_runner(Store& store, const config_change<Config>& change)
        : m_store(store)
        , m_change(change)
    {
    }

    outcome run()
    {
        // What the host knows may be older than the store, so a refusal needs the store's value.
        std::optional<outcome> result = attempt(value_source::Known);
        for (int i = 0; i < maximumAttempts && (!result || isRefused(*result)); ++i) {
            result = attempt(value_source::Store);
            if (result)
                return *result;
        }
        if (result)
            return *result;
        return tl::unexpected(rpc::call_failure { rpc::operator_error::Conflict,
            m_change.key + " changed during every attempt; repeat the operation" });
    }

private:
    // Planner writes to one service are seconds apart, so a few attempts meet a quiet moment.
    static constexpr int maximumAttempts = 6;

    static bool isRefused(const outcome& result)
    {
        return !result && result.error().error != rpc::operator_error::StoreUnavailable
            && result.error().error != rpc::operator_error::OutcomeUnknown;
    }

    // Nothing if the swap was refused because the key has changed.
    std::optional<outcome> attempt(value_source source)
    {
        const entry_answer entry
            = source == value_source::Known ? m_store.known(m_change.key) : m_store.read(m_change.key);
        if (!entry)
            return outcome(tl::unexpected(toFailure(entry.error(), false)));
        current_value<Config> current;
        if (*entry) {
            tl::expected<Config, core::config_problems> parsed = m_change.parse((*entry)->value);
            if (!parsed)
                return outcome(tl::unexpected(invalidValue(m_change.key, parsed.error())));
            current = { std::move(*parsed), (*entry)->modified };
        }
        return apply(current, source);
    }

    std::optional<outcome> apply(const current_value<Config>& current, value_source source)
    {
        const tl::expected<core::operation_result<Config>, rpc::call_failure> result
            = m_change.apply(current, source);
        if (!result)
            return outcome(tl::unexpected(result.error()));
        if (result->isRepeat)
            return outcome(
                accepted_change<Config> { result->config, true, result->revision, current.modified });
        const std::uint64_t revision = current.config ? current.config->revision : 0;
        if (m_refusedAt && current.config) {
            const std::optional<rpc::call_failure> race = checkRace(
                m_change.key, m_change.author, *m_refusedAt, revision, current.config->operations);
            if (race)
                return outcome(tl::unexpected(*race));
        }
        std::vector<store::key_swap> swaps { { m_change.key, current.modified,
            m_change.format(result->config) } };
        if (m_change.companions) {
            const tl::expected<std::vector<store::key_swap>, rpc::call_failure> others
                = m_change.companions(result->config, source);
            if (!others)
                return outcome(tl::unexpected(others.error()));
            swaps.insert(swaps.end(), others->begin(), others->end());
        }
        return write(*result, swaps, revision);
    }

    std::optional<outcome> write(const core::operation_result<Config>& result,
        const std::vector<store::key_swap>& swaps, std::uint64_t revision)
    {
        const tl::expected<store::swap_result, store::store_error> written = m_store.swap(swaps);
        if (!written)
            return outcome(tl::unexpected(toFailure(written.error(), true)));
        if (written->wasWritten)
            return outcome(
                accepted_change<Config> { result.config, false, result.revision, written->revision });
        m_refusedAt = revision;
        return std::nullopt;
    }

    Store& m_store;
    const config_change<Config>& m_change;
    /// Revision on which the last refused swap was based.
    std::optional<std::uint64_t> m_refusedAt;
};

} // namespace shallotcove::daemon
