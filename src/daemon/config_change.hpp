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

using entry_result = tl::expected<std::optional<core::store_entry>, store::store_error>;

/// The configuration store that operator changes use: operator_store in the daemon, a fake in tests.
/// readReplica() reads this host's replica of the configuration, read() the store itself.
template <typename Store>
concept config_store
    = requires(Store store, std::string key, std::vector<store::key_swap> swaps, core::config_index index)
{
    {
        store.readReplica(key)
        } -> std::same_as<entry_result>;
    {
        store.read(key)
        } -> std::same_as<entry_result>;
    {
        store.swap(swaps)
        } -> std::same_as<tl::expected<store::swap_result, store::store_error>>;
    {
        store.hostsBehind(index)
        } -> std::same_as<std::optional<std::vector<std::string>>>;
};

/// An accepted change of a configuration value.
template <typename Config> struct accepted_change {
    Config config;
    /// The operation had been applied before, by an earlier call with the same id.
    bool isRepeat {};
    std::uint64_t revision {};
    /// Store revision at which the change is in force.
    core::config_index index;
};

rpc::call_failure toFailure(const core::operation_failure&);
rpc::call_failure toFailure(store::store_error, bool isWrite);
rpc::call_failure invalidValue(const std::string& key, const core::config_problems&);

/// Where the value that a change is applied to was read: this host's replica or the store.
enum class value_source : std::uint8_t { Replica, Store };

/// A configuration value before a change; without a config if the key is absent.
template <typename Config> struct current_value {
    std::optional<Config> config;
    core::config_index modified;
};

/// One change of a configuration value: its key, its serialization and the function that computes the new
/// value.
template <typename Config> struct config_change {
    std::string key;
    std::string author;
    tl::expected<Config, core::config_problems> (*parse)(std::string_view);
    std::string (*format)(const Config&);
    /// Computes the new value.
    std::function<tl::expected<core::operation_result<Config>, rpc::call_failure>(
        const current_value<Config>&, value_source)>
        apply {};
    /// Computes the further keys to write in the same transaction as the value. May be empty.
    std::function<tl::expected<std::vector<store::key_swap>, rpc::call_failure>(
        const Config& changed, value_source)>
        relatedSwaps {};
};

/// Fails if another author changed the value after revisionBefore, or if its operation records do not
/// explain every revision since then. The failure names the author and the change, if they are recorded.
std::optional<rpc::call_failure> detectConflict(const std::string& key, const std::string& author,
    std::uint64_t revisionBefore, std::uint64_t currentRevision, const std::vector<core::operation_record>&);

/// Applies an operator's change by compare-and-swap. A swap that failed because of a planner write, which
/// does not advance the revision, or because of another change of the same author is retried. A conflict with
/// another operator is reported to the caller.
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
        // The replica may be older than the store, so a refusal is returned only if the store's value also
        // leads to it.
        std::optional<outcome> result = attempt(value_source::Replica);
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
    // Planner writes to one service are seconds apart, so one of a few attempts falls between two of them.
    static constexpr int maximumAttempts = 6;

    static bool isRefused(const outcome& result)
    {
        return !result && result.error().error != rpc::operator_error::StoreUnavailable
            && result.error().error != rpc::operator_error::OutcomeUnknown;
    }

    // Empty if the store refused the swap because a key had changed since it was read.
    std::optional<outcome> attempt(value_source source)
    {
        const entry_result entry = source == value_source::Replica ? m_store.readReplica(m_change.key)
                                                                   : m_store.read(m_change.key);
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
        if (m_refusedRevision && current.config) {
            const std::optional<rpc::call_failure> conflict = detectConflict(
                m_change.key, m_change.author, *m_refusedRevision, revision, current.config->operations);
            if (conflict)
                return outcome(tl::unexpected(*conflict));
        }
        std::vector<store::key_swap> swaps { { m_change.key, current.modified,
            m_change.format(result->config) } };
        if (m_change.relatedSwaps) {
            const tl::expected<std::vector<store::key_swap>, rpc::call_failure> related
                = m_change.relatedSwaps(result->config, source);
            if (!related)
                return outcome(tl::unexpected(related.error()));
            swaps.insert(swaps.end(), related->begin(), related->end());
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
        m_refusedRevision = revision;
        return std::nullopt;
    }

    Store& m_store;
    const config_change<Config>& m_change;
    /// Revision of the value on which the last refused swap was based.
    std::optional<std::uint64_t> m_refusedRevision;
};

} // namespace shallotcove::daemon
