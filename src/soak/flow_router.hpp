#pragma once

#include <utility>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

#include <shallotcove/steering/flow_address.hpp>

#include "testbench/datagram_port.hpp"
#include "testbench/timer_queue.hpp"

#include "host_plan.hpp"

namespace shallotcove::soak {

/// Simulates the platform's routers: probes the readiness of hosts and distributes caller packets over the
/// ready hosts of a data centre by a hash of the flow.
class flow_router {
public:
    using readiness_handler = std::function<void(const std::string& host)>;

    static tl::expected<std::unique_ptr<flow_router>, std::string> create(boost::asio::io_context&,
        testbench::timer_queue&, const core::socket_address& localAddress, std::vector<host_plan>,
        bool isModuloHash);

    /// Called when a host becomes ready.
    void setReadinessHandler(readiness_handler handler) { m_onReady = std::move(handler); }
    void startProbes();

    void route(const std::string& dataCentre, const steering::flow_address&, std::span<const std::byte>);
    /// Sends to the given host instead of the one selected by the hash.
    void sendTo(const std::string& host, std::span<const std::byte>);
    void setPacketsDropped(const std::string& host, bool isDropped);
    void setDelay(const std::string& host, std::chrono::milliseconds);

    bool isReady(const std::string& host) const;
    bool areAllReady() const;

private:
    struct routed_host {
        host_plan plan;
        int missedProbes {};
        bool isInRotation {};
        bool isReady {};
        int activeDropFaults {};
        std::chrono::milliseconds delay {};
    };

    flow_router(boost::asio::io_context&, testbench::timer_queue&, std::vector<host_plan>, bool isModuloHash);
    void probe(std::size_t index);
    void handleProbe(std::size_t index, bool isReady);
    std::vector<std::size_t> candidateHosts(const std::string& dataCentre) const;
    std::size_t chooseHost(const std::vector<std::size_t>&, const steering::flow_address&) const;
    void send(std::size_t index, std::span<const std::byte>);
    routed_host& findHost(const std::string& host);

    boost::asio::io_context& m_context;
    testbench::timer_queue& m_timers;
    std::unique_ptr<testbench::datagram_port> m_port;
    std::vector<routed_host> m_hosts;
    bool m_isModuloHash;
    readiness_handler m_onReady;
};

} // namespace shallotcove::soak
