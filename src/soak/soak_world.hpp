#pragma once

#include <utility>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <pcg_random.hpp>

#include <tl/expected.hpp>

#include <platform/testing/store_standin.hpp>
#include <shallotcove/steering/routing_config.hpp>

#include "testbench/timer_queue.hpp"

#include "caller_fleet.hpp"
#include "fault.hpp"
#include "flow_router.hpp"
#include "host_plan.hpp"
#include "host_processes.hpp"
#include "promise_checker.hpp"
#include "server_fleet.hpp"
#include "soak_network.hpp"
#include "soak_options.hpp"
#include "tcp_proxy.hpp"

namespace shallotcove::soak {

/// A soak run: starts the hosts with simulated platform services, generates caller traffic, injects the
/// planned faults and checks the promises.
class soak_world {
public:
    static tl::expected<std::unique_ptr<soak_world>, std::string> create(const soak_options&);

    void run();
    /// Returns a readable summary of the faults, checks and violations.
    std::string report() const;
    bool isClean() const { return m_checker.violations().empty(); }

private:
    struct host_state {
        std::unique_ptr<tcp_proxy> storeConnections;
        std::optional<core::timestamp> terminationRequestedAt;
        /// Number of exits so far. A grace-period timer acts only if the host has not exited since the timer
        /// was started.
        int exitCount {};
        bool isAwaitingReadiness {};
        int activePauses {};
        std::chrono::milliseconds restartDelay {};
    };

    explicit soak_world(const soak_options&);
    std::optional<std::string> open();
    std::optional<std::string> openHosts();
    std::optional<std::string> openServersAndCallers();
    void writeSettings(const host_plan&, std::size_t logLinesPerSecond, bool isTruncated) const;

    void beginTraffic();
    void scheduleFaults();
    void beginRecovery();
    void stopHosts();
    void finish();
    void watchProcesses();
    void handleExit(const host_exit&);
    void startHost(const std::string& host);
    void waitUntilReady(const std::string& host);
    void log(const std::string& text) const;

    void inject(const fault&);
    void injectHostFault(const fault&);
    void injectConnectionFault(const fault&);
    void injectStoreFault(const fault&);
    void injectServerFault(const fault&);
    void injectOperatorChange(const fault&);

    void kill(const std::string& host, std::chrono::milliseconds restartDelay);
    void stop(const std::string& host, std::chrono::milliseconds restartDelay);
    void pause(const std::string& host, std::chrono::milliseconds duration);
    void changeSettings(const std::string& host, const fault&);
    void recordHostDisturbance(const std::string& host, std::chrono::milliseconds duration);
    void cutDataCentre(const std::string& dataCentre, std::chrono::milliseconds duration);
    void takeDataCentreOut(const std::string& dataCentre, std::chrono::milliseconds duration);
    void setStoreFault(platform::testing::store_fault, std::chrono::milliseconds duration);
    void changeConfig();
    void probeHosts();

    void addServer(const std::string& service, const std::string& dataCentre, bool isCold);
    void addServerAt(
        const core::socket_address&, const std::string& service, const std::string& dataCentre, bool isCold);
    void replaceServer(const std::string& server);
    void crashServer(const std::string& server, std::chrono::milliseconds replacedAfter);
    void reuseAddress(const std::string& server, std::chrono::milliseconds duration);
    void endServer(const std::string& server);
    std::string pickServer(std::uint32_t target) const;
    std::string dataCentreName(std::size_t dataCentre) const
    {
        return std::string(1, static_cast<char>('a' + dataCentre));
    }

    soak_options m_options;
    soak_bounds m_bounds;
    boost::asio::io_context m_context { 1 };
    testbench::timer_queue m_timers { m_context };
    pcg32 m_random;
    promise_checker m_checker;
    soak_network m_network;
    host_processes m_processes;
    std::vector<host_plan> m_hosts;
    std::map<std::string, host_state> m_hostStates;
    std::unique_ptr<platform::testing::store_standin> m_store;
    std::unique_ptr<flow_router> m_router;
    std::unique_ptr<server_fleet> m_servers;
    std::unique_ptr<caller_fleet> m_callers;
    std::vector<core::socket_address> m_freeAddresses;
    steering::routing_config m_config;
    std::vector<steering::route_address> m_removedProbeRoutes;
    std::uint16_t m_nextProbePort { 1000 };
    std::set<std::string> m_dataCentresOut;
    /// When a data centre that was out was last taken back in.
    std::map<std::string, core::timestamp> m_dataCentreBackAt;
    std::map<fault_kind, int> m_injected;
    core::timestamp m_storeDisturbedUntil;
    core::timestamp m_startedAt;
    bool m_isShuttingDown {};
};

} // namespace shallotcove::soak
