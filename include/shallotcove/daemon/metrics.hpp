#pragma once

#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include <shallotcove/core/ip_address.hpp>
#include <shallotcove/daemon/metric.hpp>

namespace shallotcove::daemon {

/// Holds the metrics of a host and serves them at GET /metrics. Safe for use by all threads; takes locks, so
/// the packet thread does not use it.
class metrics {
public:
    using label_values = std::vector<std::string>;

    /// Listens on the address; fails with the reason.
    static tl::expected<std::unique_ptr<metrics>, std::string> create(const core::socket_address&);

    /// Holds the metrics only, for a host that serves their text itself.
    static std::unique_ptr<metrics> createUnserved();

    ~metrics();

    // Label values come in the order of the table. A call that does not fit the metric's kind does nothing.

    void add(metric, const label_values&, double amount);
    /// Raises a counter to a total that is counted elsewhere; a smaller total changes nothing.
    void raiseTo(metric, const label_values&, double total);
    void set(metric, const label_values&, double value);
    void observe(metric, const label_values&, double value);

    /// All metrics in the text format of Prometheus.
    std::string text() const;
    /// Where the metrics are served, with the port that the system chose.
    core::socket_address address() const;

private:
    class implementation;
    explicit metrics(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace shallotcove::daemon
