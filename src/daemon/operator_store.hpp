#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/control_engine.hpp>
#include <shallotcove/daemon/channels.hpp>
#include <shallotcove/store/key_value_client.hpp>

#include "store_health.hpp"

namespace shallotcove::daemon {

struct operator_store_options {
    /// Longest wait for the peer thread.
    std::chrono::milliseconds viewTimeout { 1000 };
    /// Longest wait for the platform thread; above the timeout of a store request.
    std::chrono::milliseconds storeTimeout { 5000 };
    /// Called after a task was pushed into the platform thread's ring.
    std::function<void()> wakePlatform;
};

/// Access of the operator thread to this host's state, which the peer thread owns, and to the store, which
/// the platform thread calls. Each call blocks until the other thread answers or the timeout expires.
class operator_store {
public:
    using entry_result = tl::expected<std::optional<core::store_entry>, store::store_error>;

    operator_store(channels&, operator_store_options);

    /// Runs a query on the peer thread. Empty if the ring of queries is full or the peer thread does not
    /// answer within the view timeout.
    template <typename Result>
    std::optional<Result> runQuery(std::function<Result(const control_view&)> query)
    {
        const std::shared_ptr<std::promise<Result>> answer = std::make_shared<std::promise<Result>>();
        std::future<Result> future = answer->get_future();
        const bool isQueued = m_channels.queries.push(
            [answer, query](const control_view& view) { answer->set_value(query(view)); });
        if (!isQueued || future.wait_for(m_options.viewTimeout) != std::future_status::ready)
            return std::nullopt;
        return future.get();
    }

    /// Reads a key from this host's replica of the configuration. Empty if the key is absent or deleted.
    entry_result readReplica(const std::string& key);
    /// Reads a key from the store. Empty if the key is absent or deleted.
    entry_result read(const std::string& key);
    tl::expected<store::swap_result, store::store_error> swap(std::vector<store::key_swap>);
    /// Peer addresses of the hosts that have not applied an index; empty optional if the peer thread does not
    /// answer.
    std::optional<std::vector<std::string>> hostsBehind(core::config_index);

private:
    template <typename Result> using answer_of = tl::expected<Result, store::store_error>;

    template <typename Result>
    using start_call = std::function<void(store::key_value_client&, std::function<void(answer_of<Result>)>)>;

    template <typename Result> answer_of<Result> call(const char* name, start_call<Result> start)
    {
        using promise = std::promise<answer_of<Result>>;
        const std::shared_ptr<promise> answer = std::make_shared<promise>();
        std::future<answer_of<Result>> future = answer->get_future();
        const bool isQueued = m_channels.storeTasks.push(
            [answer, name, start](store::key_value_client& client, store_health& health) {
                start(client, [answer, name, &health](answer_of<Result> result) {
                    if (result)
                        health.succeeded(name);
                    else
                        health.failed(name, result.error());
                    answer->set_value(std::move(result));
                });
            });
        if (!isQueued)
            return tl::unexpected(store::store_error::Unavailable);
        if (m_options.wakePlatform)
            m_options.wakePlatform();
        // The task may still run after the timeout, so its outcome is unknown.
        if (future.wait_for(m_options.storeTimeout) != std::future_status::ready)
            return tl::unexpected(store::store_error::AnswerLost);
        return future.get();
    }

    channels& m_channels;
    operator_store_options m_options;
};

} // namespace shallotcove::daemon
