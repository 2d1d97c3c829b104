#include <shallotcove/daemon/metrics.hpp>

#include <map>
#include <optional>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "http_responder.hpp"

namespace shallotcove::daemon {

namespace {

    // From 1 microsecond to 10 seconds.
    const prometheus::Histogram::BucketBoundaries secondsBuckets { 1e-6, 2e-6, 5e-6, 1e-5, 2e-5, 5e-5, 1e-4,
        2e-4, 5e-4, 1e-3, 2e-3, 5e-3, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };
    const prometheus::Histogram::BucketBoundaries countBuckets { 0, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000,
        2000, 5000 };

    const prometheus::Histogram::BucketBoundaries& bucketsOf(metric id)
    {
        return id == metric::ClassNewFlows ? countBuckets : secondsBuckets;
    }

    prometheus::Labels labelsOf(metric id, const metrics::label_values& values)
    {
        prometheus::Labels labels;
        const metric_definition& row = definitionOf(id);
        for (std::size_t i = 0; i < row.labels.size() && i < values.size(); ++i) {
            if (!row.labels[i].empty())
                labels.emplace(row.labels[i], values[i]);
        }
        return labels;
    }

    template <typename Kind> using family_map = std::map<metric, prometheus::Family<Kind>*>;

} // namespace

class metrics::implementation {
public:
    implementation()
        : m_registry(std::make_shared<prometheus::Registry>())
    {
        for (const metric_definition& row : metricTable)
            build(row);
    }

    ~implementation()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Returns the error message of the system if the address cannot be used.
    std::optional<std::string> serve(const core::socket_address& address)
    {
        tl::expected<std::unique_ptr<http_responder>, std::string> responder
            = http_responder::create(m_context, address, [this](std::string_view) {
                  return http_reply { 200, "text/plain; version=0.0.4", text() };
              });
        if (!responder)
            return responder.error();
        m_responder = std::move(*responder);
        m_address = m_responder->address();
        m_thread = std::thread([this] { m_context.run(); });
        return std::nullopt;
    }

    std::string text() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

    prometheus::Counter* counter(metric id, const label_values& values)
    {
        const auto found = m_counters.find(id);
        return found == m_counters.end() ? nullptr : &found->second->Add(labelsOf(id, values));
    }

    prometheus::Gauge* gauge(metric id, const label_values& values)
    {
        const auto found = m_gauges.find(id);
        return found == m_gauges.end() ? nullptr : &found->second->Add(labelsOf(id, values));
    }

    prometheus::Histogram* histogram(metric id, const label_values& values)
    {
        const auto found = m_histograms.find(id);
        return found == m_histograms.end() ? nullptr
                                           : &found->second->Add(labelsOf(id, values), bucketsOf(id));
    }

    core::socket_address address() const { return m_address; }

private:
    void build(const metric_definition& row)
    {
        const std::string name(row.name);
        const std::string help(row.help);
        if (row.kind == metric_kind::Counter)
            m_counters[row.id] = &prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry);
        else if (row.kind == metric_kind::Gauge)
            m_gauges[row.id] = &prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry);
        else
            m_histograms[row.id] = &prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry);
    }

    std::shared_ptr<prometheus::Registry> m_registry;
    boost::asio::io_context m_context { 1 };
    std::unique_ptr<http_responder> m_responder;
    std::thread m_thread;
    core::socket_address m_address;
    family_map<prometheus::Counter> m_counters;
    family_map<prometheus::Gauge> m_gauges;
    family_map<prometheus::Histogram> m_histograms;
};

tl::expected<std::unique_ptr<metrics>, std::string> metrics::create(const core::socket_address& address)
{
    std::unique_ptr<metrics> served = createWithoutServer();
    if (const std::optional<std::string> problem = served->m_implementation->serve(address))
        return tl::unexpected("cannot listen on " + address.toString() + ": " + *problem);
    return served;
}

std::unique_ptr<metrics> metrics::createWithoutServer()
{
    return std::unique_ptr<metrics>(new metrics(std::make_unique<implementation>()));
}

std::string metrics::text() const { return m_implementation->text(); }

metrics::metrics(std::unique_ptr<implementation> inner)
    : m_implementation(std::move(inner))
{
}

metrics::~metrics() = default;

void metrics::add(metric id, const label_values& values, double amount)
{
    prometheus::Counter* const counter = m_implementation->counter(id, values);
    if (counter != nullptr)
        counter->Increment(amount);
}

void metrics::raiseTo(metric id, const label_values& values, double total)
{
    prometheus::Counter* const counter = m_implementation->counter(id, values);
    if (counter != nullptr && total > counter->Value())
        counter->Increment(total - counter->Value());
}

void metrics::set(metric id, const label_values& values, double value)
{
    prometheus::Gauge* const gauge = m_implementation->gauge(id, values);
    if (gauge != nullptr)
        gauge->Set(value);
}

void metrics::observe(metric id, const label_values& values, double value)
{
    prometheus::Histogram* const histogram = m_implementation->histogram(id, values);
    if (histogram != nullptr)
        histogram->Observe(value);
}

core::socket_address metrics::address() const { return m_implementation->address(); }

} // namespace shallotcove::daemon
