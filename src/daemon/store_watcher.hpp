#pragma once

#include <chrono>
#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/store/key_value_client.hpp>

#include "report_outbox.hpp"
#include "store_health.hpp"

namespace shallotcove::daemon {

/// Keeps a watch on the store while it is wanted, and reads everything where a watch cannot continue.
class store_watcher {
public:
    store_watcher(boost::asio::io_context&, store::key_value_client&, report_outbox&, store_health&,
        event_log&, std::chrono::milliseconds retryInterval);

    /// Starts at the index up to which the configuration is known; 0 reads everything first.
    void start(core::config_index known);
    void stop();

private:
    void readAll();
    void watch(core::config_index from);
    void handleRead(const tl::expected<store::store_range, store::store_error>&);
    void handleWatch(const tl::expected<store::store_range, store::store_error>&);

    boost::asio::steady_timer m_retry;
    store::key_value_client& m_client;
    report_outbox& m_outbox;
    store_health& m_health;
    event_log& m_log;
    std::chrono::milliseconds m_retryInterval;
    bool m_isWanted {};
    /// Grows with each start and stop; answers for an earlier one are ignored.
    std::uint64_t m_generation {};
};

} // namespace shallotcove::daemon
