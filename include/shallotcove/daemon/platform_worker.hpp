#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/channels.hpp>
#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/settings.hpp>

namespace shallotcove::daemon {

struct platform_worker_options {
    store_settings store;
    host_list_settings hostList;
    /// Written as the value of the planner's key, so that operators see which host holds the lease.
    std::string hostName;
    std::chrono::seconds plannerLease { 5 };
    /// Wait between attempts to acquire the lease or to read the store.
    std::chrono::milliseconds retryInterval { 500 };
};

/// Client of the key-value service and of the list of hosts. run() is the body of the platform thread; wake()
/// and stop() may be called from any thread.
class platform_worker {
public:
    platform_worker(const platform_worker_options&, channels&, event_log&);
    ~platform_worker();

    void run();
    /// Notifies the platform thread of new items in its rings.
    void wake();
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
