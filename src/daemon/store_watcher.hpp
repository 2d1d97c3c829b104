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

/// Watches the store between start() and stop(). Reads all entries again if the store has compacted the
/// revision from which the watch would continue.
class store_watcher {
public:
    store_watcher(boost::asio::io_context&, store::key_value_client&, report_outbox&, store_health&,
        event_log&, std::chrono::milliseconds retryInterval);

    /// Starts the watch after the index that the caller already has; with index 0, all entries are read
    /// first.
    void start(core::config_index knownIndex);
    void stop();

private:
    void readAll();
    void watch(core::config_index from);
    void handleRead(const tl::expected<store::store_range, store::store_error>&);
    void handleWatch(const tl::expected<store::store_range, store::store_error>&);

    boost::asio::steady_timer m_retryTimer;
    store::key_value_client& m_client;
    report_outbox& m_outbox;
    store_health& m_health;
    event_log& m_log;
    std::chrono::milliseconds m_retryInterval;
    bool m_isStarted {};
    /// Incremented whenever earlier calls become obsolete; their answers are ignored.
    std::uint64_t m_generation {};
};

} // namespace shallotcove::daemon
