#pragma once

#include <utility>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/flow.hpp>

namespace shallotcove::testbench {

/// Callers that share one inner source address, which determines the caller class of the service. Groups with
/// the same name are reported together.
struct caller_group {
    std::string name;
    /// Loopback address from which packets are sent and at which responses are received.
    core::ip_address source;
    /// Share of the connections relative to the other groups.
    std::uint32_t share { 1 };
};

struct request_kind {
    std::string name;
    /// Weight of a response in the reported service ratio.
    std::uint32_t weight { 1 };
    std::uint32_t share { 1 };
    std::uint32_t responseBytes { 200 };
    bool runsOnce {};
};

struct target_service {
    std::string name;
    core::socket_address address;
    core::transport protocol { core::transport::Tcp };
    /// Connections kept open at the same time.
    std::uint32_t connections { 100 };
    /// Percentage of connections that stay open until the end.
    std::uint32_t longLivedPercent { 50 };
    /// Requests on a connection that is not long-lived.
    std::uint32_t requestsPerFlow { 2 };
    /// Mean pause between requests on short-lived and on long-lived connections.
    std::chrono::milliseconds pause { 1000 };
    std::chrono::milliseconds longLivedPause { 1000 };
    std::vector<request_kind> kinds;
};

struct caller_options {
    core::socket_address fabric;
    /// GET /report, POST /excuse, POST /finish.
    core::socket_address controlAddress;
    std::vector<caller_group> groups;
    std::vector<target_service> services;
    std::uint64_t seed { 1 };
    /// Connections are opened evenly over this time.
    std::chrono::milliseconds rampUp { 2000 };
    /// No new requests are started after this time.
    std::chrono::milliseconds duration { 10000 };

    /// Reads the services and groups from JSON: {"groups": [{name, source, addresses, share}], "services":
    /// [{name, address, protocol, connections, longPercent, requestsPerFlow, pauseMs, longPauseMs, kinds:
    /// [{name, weight, share, answerBytes, runsOnce}]}]}.
    static tl::expected<caller_options, std::string> parse(const std::string& json);
};

} // namespace shallotcove::testbench
