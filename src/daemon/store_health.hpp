#pragma once

#include <atomic>
#include <string>

#include <shallotcove/core/time.hpp>
#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/store/key_value_client.hpp>

namespace shallotcove::daemon {

/// Logs when the store becomes unavailable and when it is available again, once for each outage.
class store_health {
public:
    /// isAvailable publishes the state to other threads.
    store_health(event_log&, std::atomic<bool>& isAvailable);

    void succeeded(const char* call);
    void failed(const char* call, store::store_error);

private:
    event_log& m_log;
    std::atomic<bool>& m_isAvailable;
    core::timestamp m_outageStart;
};

std::string nameOf(store::store_error);

} // namespace shallotcove::daemon
