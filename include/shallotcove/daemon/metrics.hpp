#pragma once

#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/metric.hpp>

namespace shallotcove::daemon {

/// Holds the metrics of a host and serves them at GET /metrics. All threads may use it; it takes locks, so
/// the packet thread does not.
class metrics {
public:
    using label_values = std::vector<std::string>;

    /// Serves the metrics on the address; returns the reason as the error if that fails.
    static tl::expected<std::unique_ptr<metrics>, std::string> create(const core::socket_address&);

    /// Creates metrics without an HTTP server, for a host that serves text() itself.
    static std::unique_ptr<metrics> createWithoutServer();

    ~metrics();

    // Label values are in the order of metricTable. A call that does not match the kind of the metric has no
    // effect.

    void add(metric, const label_values&, double amount);
    /// Raises a counter to a total that is counted elsewhere; a smaller total has no effect.
    void raiseTo(metric, const label_values&, double total);
    void set(metric, const label_values&, double value);
    void observe(metric, const label_values&, double value);

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;
    /// Address on which the metrics are served, with the port that the system assigned.
    core::socket_address address() const;

private:
    class implementation;
    explicit metrics(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
