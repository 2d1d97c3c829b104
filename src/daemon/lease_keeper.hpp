#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <shallotcove/core/time.hpp>
#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/store/key_value_client.hpp>

#include "report_outbox.hpp"
#include "store_health.hpp"

namespace shallotcove::daemon {

struct lease_keeper_options {
    std::string holderName;
    std::chrono::seconds timeToLive { 5 };
    std::chrono::milliseconds retryInterval { 500 };
};

/// Acquires the planner's lease and renews it while setWanted(true) is in effect. The lease is held by
/// writing the key "planner", bound to a lease of the store.
class lease_keeper {
public:
    lease_keeper(boost::asio::io_context&, store::key_value_client&, report_outbox&, store_health&,
        event_log&, const lease_keeper_options&);

    void setWanted(bool);

private:
    void schedule(std::chrono::milliseconds);
    void update();
    void checkHolder();
    void requestLease();
    void acquire(std::int64_t lease, core::timestamp grantSentAt);
    void renew();
    void handleLoss(const std::string& cause);
    void handleFailure(const char* call, store::store_error);

    boost::asio::steady_timer m_timer;
    store::key_value_client& m_client;
    report_outbox& m_outbox;
    store_health& m_health;
    event_log& m_log;
    lease_keeper_options m_options;
    bool m_isWanted {};
    bool m_hasPendingCall {};
    bool m_isHeld {};
    std::int64_t m_lease {};
    /// The store keeps the lease at least until then: the time to live, counted from before the request was
    /// sent.
    core::timestamp m_validUntil;
};

} // namespace shallotcove::daemon
